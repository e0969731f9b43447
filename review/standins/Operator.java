import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

/** The operator of the pages: follows 307 twice, and moves to another node after a failure, a 5xx or a second without a response. */
final class Operator {

    /** An answer, and the node that gave it. */
    record Answer(int status, String body, String node) {}

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();

    /** Makes one call; status 0 if there is no response. */
    Answer call(String method, String node, String body) throws InterruptedException {
        String uri = "http://" + node + "/config";
        for (int redirects = 0; redirects <= 2; redirects++) {
            HttpRequest request = HttpRequest.newBuilder(URI.create(uri))
                    .method(
                            method,
                            body == null
                                    ? HttpRequest.BodyPublishers.noBody()
                                    : HttpRequest.BodyPublishers.ofString(body))
                    .header("Content-Type", "application/json")
                    .timeout(Duration.ofSeconds(1))
                    .build();
            try {
                HttpResponse<String> r = client.send(request, HttpResponse.BodyHandlers.ofString());
                if (r.statusCode() != 307) {
                    return new Answer(r.statusCode(), r.body(), URI.create(uri).getAuthority());
                }
                uri = r.headers().firstValue("Location").orElseThrow();
            } catch (IOException e) {
                return new Answer(0, e.toString(), URI.create(uri).getAuthority());
            }
        }
        return new Answer(307, "redirected more than twice", URI.create(uri).getAuthority());
    }

    /** Sends the check-in of an engine to a node; returns the status. */
    int checkIn(String node) throws IOException, InterruptedException {
        String body = Resources.text("check-in.json").replace("@born@", Long.toString(System.currentTimeMillis()));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + node + "/instances/i-1"))
                .PUT(HttpRequest.BodyPublishers.ofString(body))
                .header("Content-Type", "application/json")
                .timeout(Duration.ofSeconds(1))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    }

    /** Calls the nodes in turn until one answers with 200, or the time is over; the last answer is returned. */
    Answer callUntilAnswered(String method, List<String> nodes, String body, long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        Answer last = null;
        for (int i = 0; last == null || System.nanoTime() < end; i++) {
            last = call(method, nodes.get(i % nodes.size()), body);
            if (last.status() == 200) {
                return last;
            }
            Thread.sleep(200);
        }
        return last;
    }
}
