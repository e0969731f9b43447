import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound engine of a plain service: checks in every 1.2 s, and answers each request with its stamp. */
final class AppEngine implements AutoCloseable {

    private static final long BEAT_MILLIS = 1_200;
    private static final String ATTEMPT = Resources.property("header.attempt");
    private static final String EXPECTED = Resources.property("header.expected");
    private static final String INSTANCE = Resources.property("header.instance");
    private static final String STAMP = Resources.property("header.stamp");
    private static final String UNRUN = Resources.property("header.unrun");

    final AtomicInteger runs = new AtomicInteger();
    private final String id;
    private final String address;
    private final List<String> controls;
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Operator caller = new Operator();
    private final long born = System.currentTimeMillis();

    AppEngine(String id, String host, int port, List<String> controls) throws IOException {
        this.id = id;
        this.address = host + ":" + port;
        this.controls = controls;
        server = HttpServer.create(new InetSocketAddress(host, port), 100);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
        threads.execute(this::checkIn);
    }

    private void handle(HttpExchange x) throws IOException {
        try (InputStream in = x.getRequestBody()) {
            in.transferTo(java.io.OutputStream.nullOutputStream());
        }
        String attempt = x.getRequestHeaders().getFirst(ATTEMPT);
        String expected = x.getRequestHeaders().getFirst(EXPECTED);
        x.getResponseHeaders().set(INSTANCE, id);
        if (expected != null && !expected.equals(id)) {
            x.getResponseHeaders().set(UNRUN, "1");
            respond(x, 421, "");
        } else if (x.getRequestURI().getPath().equals("/health")) {
            respond(x, 200, "");
        } else if (x.getRequestURI().getPath().equals("/report")) {
            x.getResponseHeaders().set("Content-Type", "application/json");
            respond(x, 200, Resources.text("report.json"));
        } else if (attempt == null) {
            // PROTOCOL.md: 400 without an id
            x.getResponseHeaders().set(UNRUN, "1");
            respond(x, 400, "");
        } else {
            runs.incrementAndGet();
            x.getResponseHeaders().set(ATTEMPT, attempt);
            x.getResponseHeaders().set(STAMP, id + "." + attempt);
            respond(x, 200, "done " + attempt);
        }
    }

    private static void respond(HttpExchange x, int status, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        x.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        x.getResponseBody().write(bytes);
        x.close();
    }

    private void checkIn() {
        try {
            int node = 0;
            for (int sequence = 1; ; sequence++) {
                for (int tries = 0; tries < controls.size(); tries++) {
                    if (isAcknowledged(controls.get(node % controls.size()), sequence)) {
                        break;
                    }
                    node++;
                }
                Thread.sleep(BEAT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean isAcknowledged(String control, int sequence) throws InterruptedException {
        try {
            return caller.checkIn(control, id, address, sequence, born) == 200;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
