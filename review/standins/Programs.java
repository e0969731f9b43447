import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Starts the project's programs as the platform does: the command of the deploy file, and a settings file from its template. */
final class Programs implements AutoCloseable {

    private static final Pattern GAP = Pattern.compile("\\{\\{([A-Za-z0-9_.]+)(\\|json)?}}");

    final Path folder;
    final int peerPort;
    final int frontPort;
    final int readyPort;
    final int controlPort;
    final int forwardPort;
    private final int adminPort;
    private final Map<String, Process> running = new LinkedHashMap<>();
    private final Path root = Path.of("").toAbsolutePath();

    Programs() throws IOException {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> running.values().forEach(Process::destroyForcibly)));
        folder = Files.createTempDirectory("review");
        // below the ephemeral range
        int[] ports = freePorts(6);
        peerPort = ports[0];
        forwardPort = ports[1];
        frontPort = ports[2];
        readyPort = ports[3];
        controlPort = ports[4];
        adminPort = ports[5];
    }

    private static int[] freePorts(int count) {
        int next = 5_000 + (int) (ProcessHandle.current().pid() % 400) * 40;
        int[] out = new int[count];
        for (int i = 0; i < count; i++) {
            while (!isFree(next)) {
                next++;
            }
            out[i] = next++;
        }
        return out;
    }

    private static boolean isFree(int port) {
        try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName("0.0.0.0"))) {
            return s.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    Path dataFolder(String host) {
        return folder.resolve("data-" + host);
    }

    String control(String host) {
        return host + ":" + controlPort;
    }

    /** Starts a program. The figures are those of a small deployment of the pages. */
    void start(String role, String host, boolean firstStart, List<String> seedHosts) throws IOException {
        Map<String, String> values = new LinkedHashMap<>();
        values.put("nodeName", role + "-" + host);
        values.put("zone", "zone-" + host);
        values.put("ip", host);
        values.put("portRange.0", Integer.toString(peerPort));
        values.put("portRange.1", Integer.toString(forwardPort));
        values.put("listen.control", host + ":" + controlPort);
        values.put("listen.front", host + ":" + frontPort);
        values.put("listen.ready", host + ":" + readyPort);
        values.put("dataDir", dataFolder(host).toString());
        values.put("bootstrap", Boolean.toString(firstStart));
        values.put(
                "seeds",
                "[" + String.join(", ", seedHosts.stream().map(s -> "\"" + control(s) + "\"").toList()) + "]");
        values.put("faultTolerance.machines", "1");
        values.put("beatMs", "1200");
        values.put("bounds.stallMs", "4000");
        values.put("bounds.budgetRatio", "0.2");
        values.put("bounds.budgetExtra", "132");
        values.put("bounds.budgetWindowS", "10");
        values.put("bounds.graceS", "8");
        Files.createDirectories(dataFolder(host));
        Path settings = folder.resolve(role + "-" + host + ".json");
        Files.writeString(settings, render(template(role), values));
        ProcessBuilder b = new ProcessBuilder(command(role));
        b.directory(root.toFile());
        b.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        b.environment().put(Resources.property("settings.variable"), settings.toString());
        b.redirectErrorStream(true);
        b.redirectOutput(ProcessBuilder.Redirect.appendTo(
                folder.resolve(role + "-" + host + ".log").toFile()));
        running.put(role + " " + host, b.start());
    }

    /** Returns the template with a free port in place of the fixed one for metrics. */
    private String template(String role) throws IOException {
        return Files.readString(root.resolve("deploy/" + role + ".json")).replace(":9464", ":" + adminPort);
    }

    private List<String> command(String role) throws IOException {
        String text = Files.readString(root.resolve("deploy/system.toml"));
        Matcher m = Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]+)\"").matcher(text);
        if (!m.find()) {
            throw new IOException("the deploy file has no role " + role);
        }
        return List.of(m.group(1).split(" "));
    }

    private static String render(String template, Map<String, String> values) {
        return GAP.matcher(template).replaceAll(g -> Matcher.quoteReplacement(values.getOrDefault(g.group(1), "")));
    }

    boolean isAlive(String role, String host) {
        Process p = running.get(role + " " + host);
        return p != null && p.isAlive();
    }

    int exitCode(String role, String host) {
        return running.get(role + " " + host).exitValue();
    }

    /** Sends SIGTERM, and SIGKILL after the grace period. */
    void terminate(String role, String host, long graceMillis) throws InterruptedException {
        Process p = running.remove(role + " " + host);
        p.destroy();
        if (!p.waitFor(graceMillis, TimeUnit.MILLISECONDS)) {
            p.destroyForcibly().waitFor();
        }
    }

    /** Sends SIGKILL. */
    void kill(String role, String host) throws InterruptedException {
        running.remove(role + " " + host).destroyForcibly().waitFor();
    }

    /** Sends a signal by name. */
    void signal(String role, String host, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(running.get(role + " " + host).pid()))
                .start()
                .waitFor();
    }

    /** Empties the data folder of a control instance. */
    void wipe(String host) throws IOException {
        deleteTree(dataFolder(host));
        Files.createDirectories(dataFolder(host));
    }

    /** Returns the log lines of a program that contain a text. */
    List<String> log(String role, String host, String text) throws IOException {
        List<String> out = new ArrayList<>();
        for (String l : Files.readAllLines(folder.resolve(role + "-" + host + ".log"))) {
            if (l.contains(text)) {
                out.add(l);
            }
        }
        return out;
    }

    @Override
    public void close() {
        running.values().forEach(Process::destroyForcibly);
        running.values().forEach(p -> {
            try {
                p.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        try {
            if (System.getenv("KEEP") == null) {
                deleteTree(folder);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void deleteTree(Path top) throws IOException {
        try (Stream<Path> all = Files.walk(top)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }
}
