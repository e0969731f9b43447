import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Runs the programs of the deploy file as processes on loopback, as a small deployment: control instances and entries, each at an address
 * of its own, with settings from the templates of the deploy file. Also a plain HTTP/1.1 client and the record of a case.
 */
final class Rig implements Closeable {

    static final String HOST = "models.example";
    static final int BEAT_MS = 1_200;
    static final int CONTACT_MS = 3_000;
    static final int DRAIN_MS = 2_000;
    static final int CONFIG_APPLY_MS = 2_000;
    static final int GRACE_S = 8;

    private final Path caseFolder;
    private final Path folder;
    private final long startNanos = System.nanoTime();
    private final List<String> record = Collections.synchronizedList(new ArrayList<>());
    private final Map<String, Process> processes = new TreeMap<>();
    private final Map<String, Long> changedAt = new TreeMap<>();
    private final List<Closeable> closed = new CopyOnWriteArrayList<>();
    private final int net;
    private final int[] ports = {8227, 8220, 8229, 7340, 7355};
    private final int seeds;
    private int controls;

    Rig(Path caseFolder, int controls) throws IOException {
        this.caseFolder = caseFolder;
        this.controls = controls;
        this.seeds = controls;
        this.folder = Files.createTempDirectory("hallwall-review-");
        this.net = freeNet();
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Chooses a second byte of 127.x.0.0 at which the ports of the programs are free. */
    private int freeNet() throws IOException {
        int first = 20 + (int) (ProcessHandle.current().pid() % 200);
        for (int i = 0; i < 200; i++) {
            int n = 20 + (first + i) % 200;
            if (isFree("127." + n + ".1.1") && isFree("127." + n + ".2.1")) {
                return n;
            }
        }
        throw new IOException("no free loopback addresses");
    }

    private boolean isFree(String host) {
        for (int p : ports) {
            try (ServerSocket s = new ServerSocket(p, 1, InetAddress.getByName(host))) {
                if (!s.isBound()) {
                    return false;
                }
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    String controlHost(int n) {
        return "127." + net + ".1." + n;
    }

    String entryHost(int n) {
        return "127." + net + ".2." + n;
    }

    /** The address of a stand-in. */
    String standInHost(int n) {
        return "127." + net + ".3." + n;
    }

    InetSocketAddress controlApi(int n) {
        return new InetSocketAddress(controlHost(n), ports[2]);
    }

    InetSocketAddress entry(int n) {
        return new InetSocketAddress(entryHost(n), ports[0]);
    }

    InetSocketAddress readiness(int n) {
        return new InetSocketAddress(entryHost(n), ports[1]);
    }

    /** Sets how many control instances the operator knows; the seeds of the settings stay the first ones. */
    void controls(int count) {
        controls = count;
    }

    /** Empties the data folder of a control instance, which has ended. */
    void loseDisk(String name) throws IOException {
        try (Stream<Path> all = Files.list(folder.resolve("data-" + name))) {
            for (Path p : all.toList()) {
                Files.delete(p);
            }
        }
        log("%s has lost its disk", name);
    }

    Path folder() {
        return folder;
    }

    void onClose(Closeable c) {
        closed.add(c);
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    void log(String format, Object... args) {
        String line = String.format(Locale.ROOT, "%8.3f  ", millis() / 1_000.0) + String.format(Locale.ROOT, format, args);
        record.add(line);
        System.out.println(line);
    }

    // --- programs

    void startControl(int n, boolean first) throws IOException {
        start("control", "control" + n, controlHost(n), first, Map.of("listen.control", controlHost(n) + ":" + ports[2]));
    }

    void startEntry(int n, boolean first) throws IOException {
        start(
                "entry",
                "entry" + n,
                entryHost(n),
                first,
                Map.of(
                        "listen.front", entryHost(n) + ":" + ports[0],
                        "listen.ready", entryHost(n) + ":" + ports[1]));
    }

    private void start(String role, String name, String ip, boolean first, Map<String, String> listen) throws IOException {
        Map<String, String> values = new LinkedHashMap<>(listen);
        values.put("nodeName", name);
        values.put("ip", ip);
        values.put("zone", "a");
        values.put("portRange.0", Integer.toString(ports[3]));
        values.put("portRange.1", Integer.toString(ports[4]));
        values.put("bootstrap", Boolean.toString(first));
        values.put(
                "seeds|json",
                java.util.stream.IntStream.rangeClosed(1, seeds)
                        .mapToObj(c -> "\"" + controlHost(c) + ":" + ports[2] + "\"")
                        .collect(Collectors.joining(",", "[", "]")));
        values.put("faultTolerance.machines", "1");
        values.put("beatMs", Integer.toString(BEAT_MS));
        values.put("bounds.stallMs", "4000");
        values.put("bounds.budgetRatio", "0.2");
        values.put("bounds.budgetExtra", "134");
        values.put("bounds.budgetWindowS", "10");
        values.put("bounds.graceS", Integer.toString(GRACE_S));
        Path data = folder.resolve("data-" + name);
        Files.createDirectories(data);
        values.put("dataDir", data.toString());
        String text = Files.readString(Path.of("deploy", role + ".json"));
        Matcher gaps = Pattern.compile("\\{\\{([^}]+)\\}\\}").matcher(text);
        StringBuilder out = new StringBuilder();
        while (gaps.find()) {
            String value = values.get(gaps.group(1));
            if (value == null) {
                throw new IOException("the template has an unknown gap " + gaps.group(1));
            }
            gaps.appendReplacement(out, Matcher.quoteReplacement(value));
        }
        gaps.appendTail(out);
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, out.toString());
        ProcessBuilder builder = new ProcessBuilder(command(role));
        builder.environment().put(Wire.name("settings.variable"), file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        Process p = builder.start();
        processes.put(name, p);
        changedAt.put(name, millis());
        log("start %s, process %d", name, p.pid());
    }

    /** Reads the command of a role from the deploy file. */
    private static List<String> command(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(Path.of("deploy", "system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.trim().equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return List.of(run.split(" +"));
            }
        }
        throw new IOException("no command for " + role);
    }

    void signal(String name, String signal) throws IOException, InterruptedException {
        log("%s to %s", signal, name);
        changedAt.put(name, millis());
        Process p = processes.get(name);
        new ProcessBuilder("sh", "-c", "kill -" + signal + " " + p.pid()).start().waitFor();
        changedAt.put(name, millis());
    }

    /** Kills several processes at the same moment. */
    void killAtOnce(String... names) throws InterruptedException {
        for (String n : names) {
            processes.get(n).destroyForcibly();
        }
        log("KILL to %s", String.join(", ", names));
        for (String n : names) {
            processes.get(n).waitFor();
            changedAt.put(n, millis());
        }
    }

    Process process(String name) {
        return processes.get(name);
    }

    /** Returns when a process was started or sent a signal last. */
    long changedAt(String name) {
        return changedAt.get(name);
    }

    boolean isRunning(String name) {
        Process p = processes.get(name);
        return p != null && p.isAlive();
    }

    String programLog(String name) throws IOException {
        Path p = folder.resolve(name + ".log");
        return Files.exists(p) ? Files.readString(p) : "";
    }

    // --- waiting

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    boolean await(String what, long timeoutMillis, BooleanSupplier condition) {
        long end = millis() + timeoutMillis;
        while (millis() < end) {
            if (condition.getAsBoolean()) {
                return true;
            }
            sleep(50);
        }
        log("not reached in %d ms: %s", timeoutMillis, what);
        return false;
    }

    boolean isReady(int entry) {
        try {
            return call(readiness(entry), "GET", "/readiness", Map.of("Host", "ready"), null, 1_000).status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    // --- operator

    /** Sends a manifest to the control instances in turn, as an operator does, and returns the one that has acknowledged it. */
    int configure(String manifest, long timeoutMillis) {
        long end = millis() + timeoutMillis;
        for (int n = 1; millis() < end; n = n % controls + 1) {
            int[] by = {n};
            Response r = callControl(by, "PUT", "/config", manifest);
            if (r != null && r.status == 200) {
                return by[0];
            }
            if (r != null && r.status >= 400 && r.status < 500) {
                throw new IllegalStateException("the manifest was refused: " + r);
            }
            sleep(100);
        }
        return 0;
    }

    Response callControl(int[] node, String method, String path, String body) {
        InetSocketAddress to = controlApi(node[0]);
        for (int i = 0; i < 3; i++) {
            try {
                Response r = call(
                        to,
                        method,
                        path,
                        Map.of("Host", "control", "Content-Type", "application/json"),
                        body == null ? null : body.getBytes(StandardCharsets.UTF_8),
                        1_000);
                if (r.status != 307) {
                    return r;
                }
                Matcher m = Pattern.compile("http://([^:/]+):(\\d+)(/.*)").matcher(r.header("location"));
                if (!m.matches()) {
                    return null;
                }
                to = new InetSocketAddress(m.group(1), Integer.parseInt(m.group(2)));
                for (int c = 1; c <= controls; c++) {
                    node[0] = controlHost(c).equals(m.group(1)) ? c : node[0];
                }
            } catch (IOException e) {
                return null;
            }
        }
        return null;
    }

    // --- HTTP/1.1

    static final class Response {

        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = {};
        /** Whether the body has ended by its length, its last chunk, or an orderly close if it has neither. */
        boolean complete;
        String error;

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        @Override
        public String toString() {
            return status + " " + headers + " " + body.length + " bytes" + (complete ? "" : ", incomplete")
                    + (error == null ? "" : ", " + error);
        }
    }

    /** Sends one request on a new connection. */
    static Response call(
            InetSocketAddress to, String method, String path, Map<String, String> headers, byte[] body, int timeoutMillis)
            throws IOException {
        try (Socket s = new Socket()) {
            s.connect(to, 1_000);
            s.setSoTimeout(timeoutMillis);
            s.setTcpNoDelay(true);
            write(s.getOutputStream(), method, path, headers, body);
            return read(s.getInputStream());
        }
    }

    static void write(OutputStream out, String method, String path, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
        if (body != null) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        if (body != null) {
            all.writeBytes(body);
        }
        out.write(all.toByteArray());
        out.flush();
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b;
        while ((b = in.read()) >= 0) {
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
        return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
    }

    static Response read(InputStream in) throws IOException {
        Response r = new Response();
        String first = readLine(in);
        if (first == null) {
            throw new IOException("closed without an answer");
        }
        if (!first.startsWith("HTTP/1.")) {
            throw new IOException("no answer in the protocol: " + first);
        }
        r.status = Integer.parseInt(first.split(" ")[1]);
        for (String l = readLine(in); l != null && !l.isEmpty(); l = readLine(in)) {
            int colon = l.indexOf(':');
            r.headers.put(l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if (r.header("transfer-encoding").contains("chunked")) {
                r.complete = readChunks(in, body);
            } else if (r.headers.containsKey("content-length")) {
                int length = Integer.parseInt(r.header("content-length"));
                byte[] bytes = in.readNBytes(length);
                body.writeBytes(bytes);
                r.complete = bytes.length == length;
            } else {
                body.writeBytes(in.readAllBytes());
                r.complete = true;
            }
        } catch (IOException e) {
            r.error = e.toString();
        }
        r.body = body.toByteArray();
        return r;
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = readLine(in);
            if (size == null || size.isEmpty()) {
                return false;
            }
            int length = Integer.parseInt(size.trim(), 16);
            byte[] bytes = in.readNBytes(length);
            body.writeBytes(bytes);
            if (bytes.length < length || readLine(in) == null) {
                return false;
            }
            if (length == 0) {
                return true;
            }
        }
    }

    // --- end

    private void killAll() {
        processes.values().forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        for (Closeable c : closed) {
            try {
                c.close();
            } catch (IOException e) {
                log("not closed: %s", e);
            }
        }
        killAll();
        for (Process p : processes.values()) {
            try {
                p.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        Files.write(caseFolder.resolve("record.txt"), List.copyOf(record));
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> all = Files.walk(folder)) {
                for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(p);
                }
            }
        } else {
            System.out.println("kept " + folder);
        }
    }
}
