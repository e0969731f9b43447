import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A client that sends one request after the other at a steady rate, each with an id of its own. It doesn't retry. */
final class Caller implements AutoCloseable {

    final Map<Integer, AtomicInteger> ends = new ConcurrentHashMap<>();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final AtomicInteger count = new AtomicInteger();
    private final Record record;
    private final String entry;
    private final String path;

    Caller(String entry, String path, long intervalMillis, Record record) {
        this.entry = entry;
        this.path = path;
        this.record = record;
        timer.scheduleAtFixedRate(this::send, 0, intervalMillis, TimeUnit.MILLISECONDS);
    }

    private void send() {
        String id = "a-" + count.incrementAndGet();
        HttpRequest r = HttpRequest.newBuilder(URI.create("http://" + entry + path))
                .header("Host", "models.example")
                .header("X-Hallwall-Attempt-Id", id)
                .header("X-Hallwall-Deadline-Ms", "3000")
                .timeout(Duration.ofSeconds(5))
                .POST(HttpRequest.BodyPublishers.ofString("release"))
                .build();
        record.add("client sends %s", id);
        client.sendAsync(r, HttpResponse.BodyHandlers.ofString()).whenComplete((x, e) -> {
            int status = e == null ? x.statusCode() : 0;
            ends.computeIfAbsent(status, s -> new AtomicInteger()).incrementAndGet();
            record.add("client gets %d for %s", status, id);
        });
    }

    /** Sends one request and waits; returns the status, 0 for none. */
    static int once(String entry, String path, String id) throws InterruptedException {
        try {
            return HttpClient.newHttpClient()
                    .send(
                            HttpRequest.newBuilder(URI.create("http://" + entry + path))
                                    .header("Host", "models.example")
                                    .header("X-Hallwall-Attempt-Id", id)
                                    .header("X-Hallwall-Deadline-Ms", "3000")
                                    .timeout(Duration.ofSeconds(5))
                                    .POST(HttpRequest.BodyPublishers.ofString("release"))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString())
                    .statusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
