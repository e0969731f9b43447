import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** An engine of a plain service: checks in every second or so, and answers requests after a while. */
final class AppEngine implements AutoCloseable {

    private static final int SLOTS = 18;

    final String id;
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    volatile long workMillis = 20;
    volatile String state = "ready";
    private final String service;
    private final String host;
    private final List<String> controls;
    private final Record record;
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    private final long born = System.currentTimeMillis();
    private final AtomicInteger calls = new AtomicInteger();
    private volatile boolean stopped;
    /** The time of the first acknowledgement of a check-in that says draining; zero before. */
    volatile long drainingAcknowledgedAt;
    /** The node that acknowledged the last check-in. */
    volatile String acknowledgedBy;
    /** Runs after the acknowledgement, with the milliseconds since then. */
    final Map<String, Long> runsAfterDraining = new ConcurrentHashMap<>();

    AppEngine(String id, String service, String host, int port, List<String> controls, Record record)
            throws IOException {
        this.id = id;
        this.service = service;
        this.host = host;
        this.controls = controls;
        this.record = record;
        server = HttpServer.create(new InetSocketAddress(host, port), 200);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
        threads.execute(this::checkIn);
    }

    String address() {
        return host + ":" + server.getAddress().getPort();
    }

    private void handle(HttpExchange x) throws IOException {
        Headers in = x.getRequestHeaders();
        byte[] body = x.getRequestBody().readAllBytes();
        String attempt = in.getFirst("X-Hallwall-Attempt-Id");
        String expected = in.getFirst("X-Hallwall-Expect-Instance");
        x.getResponseHeaders().set("X-Hallwall-Instance-Id", id);
        if (attempt != null) {
            x.getResponseHeaders().set("X-Hallwall-Attempt-Id", attempt);
        }
        if (expected != null && !expected.equals(id)) {
            respond(x, 421, "another engine");
            return;
        }
        if (x.getRequestURI().getPath().equals("/health")) {
            respond(x, 200, "");
            return;
        }
        int run = runs.computeIfAbsent(attempt, a -> new AtomicInteger()).incrementAndGet();
        if (drainingAcknowledgedAt > 0) {
            runsAfterDraining.put(attempt, (System.nanoTime() - drainingAcknowledgedAt) / 1_000_000);
        }
        record.add("engine %s runs %s (run %d, body of %d bytes)", id, attempt, run, body.length);
        try {
            Thread.sleep(workMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        x.getResponseHeaders().set("X-Hallwall-Engine-Stamp", id + "." + attempt);
        respond(x, 200, "done " + attempt);
    }

    private static void respond(HttpExchange x, int status, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        x.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        x.getResponseBody().write(bytes);
        x.close();
    }

    private void checkIn() {
        int node = 0;
        while (!stopped) {
            for (int tries = 0; tries < controls.size() && !send(controls.get(node % controls.size())); tries++) {
                node++;
            }
            try {
                Thread.sleep(1_200);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private boolean send(String control) {
        String announced = state;
        String body = String.format(
                "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
                        + "\"coldLeftMs\":0,\"callSeq\":%d,\"born\":%d}",
                service, address(), SLOTS, announced, calls.incrementAndGet(), born);
        try {
            HttpRequest r = HttpRequest.newBuilder(URI.create("http://" + control + "/instances/" + id))
                    .PUT(HttpRequest.BodyPublishers.ofString(body))
                    .header("Content-Type", "application/json")
                    .timeout(Duration.ofSeconds(1))
                    .build();
            int status = client.send(r, HttpResponse.BodyHandlers.ofString()).statusCode();
            if (status == 200) {
                acknowledgedBy = control;
                if (announced.equals("draining") && drainingAcknowledgedAt == 0) {
                    drainingAcknowledgedAt = System.nanoTime();
                    record.add("engine %s: %s has acknowledged that it is draining", id, control);
                }
            }
            return status == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Sends DELETE, to any node that takes it. */
    void delete() throws InterruptedException {
        for (String control : controls) {
            HttpRequest r = HttpRequest.newBuilder(URI.create("http://" + control + "/instances/" + id))
                    .DELETE()
                    .timeout(Duration.ofSeconds(1))
                    .build();
            try {
                if (client.send(r, HttpResponse.BodyHandlers.ofString()).statusCode() == 200) {
                    record.add("engine %s: %s has acknowledged DELETE", id, control);
                    return;
                }
            } catch (IOException e) {
                record.add("engine %s: no answer to DELETE from %s", id, control);
            }
        }
    }

    @Override
    public void close() {
        stopped = true;
        server.stop(0);
        threads.shutdownNow();
    }
}
