import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;

/** A sound engine of a plain service: it checks in, works on some requests at a time, and says in its answers when it leaves. */
class Engine implements Closeable {

    /** A request that has run. */
    record Run(String engine, String attempt, String method, String path, String tenant, long at) {}

    final Rig rig;
    final String id;
    final String service;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    final ServerSocket server;
    final String host;
    volatile long workMillis = 20;
    volatile boolean leaving;
    volatile boolean checkingIn = true;
    volatile int control;
    /** How late each try of a check-in arrives; there is no ack within a second then, and the next node is called. */
    volatile long checkInDelayMillis;
    volatile boolean ended;
    private final int controls;
    final long born = System.currentTimeMillis();
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicLong stamps = new AtomicLong();
    private final Semaphore slots = new Semaphore(6, true);
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Engine(Rig rig, String id, String service, int number, int control, int controls) throws IOException {
        this.rig = rig;
        this.id = id;
        this.service = service;
        this.control = control;
        this.controls = controls;
        this.host = rig.standInHost(number);
        this.server = new ServerSocket(0, 100, InetAddress.getByName(host));
        rig.onClose(this);
        daemon(this::accept);
        daemon(this::checkIn);
    }

    static void daemon(Runnable r) {
        Thread t = new Thread(r);
        t.setDaemon(true);
        t.start();
    }

    // --- check-ins

    private void checkIn() {
        while (!ended && checkingIn) {
            long at = rig.millis();
            tell();
            Rig.sleep(at + Rig.BEAT_MS - rig.millis());
        }
    }

    /** Sends one check-in, to the next control instance if there is no ack within a second. */
    synchronized void tell() {
        for (int i = 0; i < controls && checkingIn && !ended; i++) {
            if (send("PUT", announcement(), rig.controlApi(control))) {
                return;
            }
            control = control % controls + 1;
        }
    }

    String announcement() {
        return "{\"service\":\"" + service + "\",\"addr\":\"" + host + ":" + server.getLocalPort()
                + "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,\"state\":\"" + (leaving ? "draining" : "ready")
                + "\",\"coldLeftMs\":0,\"born\":" + born + ",\"" + Wire.name("check.in.number") + "\":" + sequence.incrementAndGet() + "}";
    }

    boolean send(String method, String body, InetSocketAddress to) {
        long delay = checkInDelayMillis;
        if (delay == 0 || method.equals("DELETE")) {
            return sendNow(method, body, to);
        }
        daemon(() -> {
            Rig.sleep(delay);
            sendNow(method, body, to);
        });
        Rig.sleep(1_000);
        return false;
    }

    private boolean sendNow(String method, String body, InetSocketAddress to) {
        try {
            Rig.Response r = Rig.call(
                    to,
                    method,
                    "/instances/" + id,
                    Map.of("Host", "control", "Content-Type", "application/json"),
                    body == null ? null : body.getBytes(StandardCharsets.UTF_8),
                    1_000);
            return r.status / 100 == 2;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends DELETE without having reported draining before, and serves on; returns the instance that has acknowledged it. */
    int leave() {
        leaving = true;
        checkingIn = false;
        for (int i = 0; i < controls; i++) {
            if (send("DELETE", null, rig.controlApi(control))) {
                return control;
            }
            control = control % controls + 1;
        }
        return 0;
    }

    // --- requests

    private void accept() {
        while (!ended) {
            try {
                Socket s = server.accept();
                open.add(s);
                daemon(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            s.setTcpNoDelay(true);
            InputStream in = s.getInputStream();
            OutputStream out = s.getOutputStream();
            while (serveOne(in, out)) {
                // the connection is kept
            }
        } catch (IOException e) {
            // the caller has closed the connection
        } finally {
            open.remove(s);
        }
    }

    private boolean serveOne(InputStream in, OutputStream out) throws IOException {
        String first = Rig.readLine(in);
        if (first == null || first.isEmpty()) {
            return false;
        }
        String[] line = first.split(" ");
        Map<String, String> headers = new LinkedHashMap<>();
        for (String l = Rig.readLine(in); l != null && !l.isEmpty(); l = Rig.readLine(in)) {
            int colon = l.indexOf(':');
            headers.put(l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        String expected = headers.get(Wire.lower(Wire.EXPECTED_INSTANCE));
        String attempt = headers.get(Wire.lower(Wire.ATTEMPT_ID));
        if (expected != null && !expected.equals(id)) {
            answer(out, 421, attempt, Map.of("At-Server", id), "");
            return true;
        }
        if (attempt == null && serveControl(line[0], line[1], new String(body, StandardCharsets.UTF_8), out)) {
            return true;
        }
        if (attempt == null) {
            answer(out, line[1].equals("/health") ? leaving ? 503 : 200 : 400, null, Map.of(Wire.INSTANCE_ID, id), "");
            return true;
        }
        try {
            slots.acquire();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        try {
            Run run = new Run(id, attempt, line[0], line[1], headers.get(Wire.lower(Wire.TENANT)), rig.millis());
            runs.add(run);
            return run(run, headers, body, out);
        } finally {
            slots.release();
        }
    }

    /** Answers a call of a control instance; returns whether it was one. */
    boolean serveControl(String method, String path, String body, OutputStream out) throws IOException {
        return false;
    }

    /** Runs a request and answers it; returns whether the connection is kept. */
    boolean run(Run run, Map<String, String> headers, byte[] body, OutputStream out) throws IOException {
        Rig.sleep(workMillis);
        answer(out, 200, run.attempt(), stamp(), "answer of " + id + " to " + run.attempt());
        return true;
    }

    Map<String, String> stamp() {
        return Map.of(Wire.STAMP, id + "." + stamps.incrementAndGet());
    }

    void answer(OutputStream out, int status, String attempt, Map<String, String> more, String body) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>(more);
        if (attempt != null) {
            headers.put(Wire.ATTEMPT_ID, attempt);
        }
        if (leaving) {
            headers.put("Server-Leaving", "1");
        }
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\nContent-Length: " + bytes.length + "\r\n");
        headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
        byte[] start = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + bytes.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(bytes, 0, all, start.length, bytes.length);
        out.write(all);
        out.flush();
    }

    /** Ends: the address refuses connections from now on. */
    @Override
    public void close() throws IOException {
        ended = true;
        server.close();
        for (Socket s : open) {
            s.close();
        }
    }
}
