import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Another writer sends a check-in with missing fields under the id of an engine. Later that engine leaves as planned.
 *
 * <p>Exits with 1 if the engine receives requests later than drainMs after it was acknowledged as draining, 0 if not, 2 if the case
 * couldn't run.
 */
public final class ForeignCheckIn {

    private static final long DRAIN_MILLIS = 2_000;
    private static final long CONTACT_MILLIS = 3_000;

    private ForeignCheckIn() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Record record = new Record(Path.of(args[0]));
                Programs programs = new Programs()) {
            result = run(trouble, record, programs);
            record.add("result %d", result);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private static int run(boolean trouble, Record record, Programs programs) throws Exception {
        List<String> controls = List.of("127.0.53.1", "127.0.53.2", "127.0.53.3");
        String entryHost = "127.0.53.11";
        for (String host : controls) {
            programs.start("control", host, true, controls);
        }
        programs.start("entry", entryHost, true, controls);
        record.add("started control on %s and an entry on %s, bootstrap true", controls, entryHost);
        List<String> nodes = controls.stream().map(programs::control).toList();
        Operator.Answer a = new Operator().callUntilAnswered("PUT", nodes, Manifests.plain(1), 20_000);
        record.add("PUT version 1: %d from %s", a.status(), a.node());
        List<AppEngine> engines = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            engines.add(new AppEngine("i-" + i, "app", "127.0.53.2" + i, programs.frontPort, nodes, record));
        }
        String entry = entryHost + ":" + programs.frontPort;
        boolean serves = false;
        for (int i = 0; i < 100 && !serves; i++) {
            Thread.sleep(200);
            serves = Caller.once(entry, "/b/w", "w-" + i) == 200;
        }
        if (a.status() != 200 || !serves) {
            return 2;
        }
        AppEngine leaving = engines.get(0);
        try (Caller caller = new Caller(entry, "/b/x", 50, record)) {
            Thread.sleep(CONTACT_MILLIS);
            if (trouble) {
                // no version, no coldLeftMs; its own count of calls and its own start
                String body = String.format(
                        "{\"service\":\"app\",\"addr\":\"%s\",\"zone\":\"zone-a\",\"slots\":18,\"state\":\"ready\","
                                + "\"callSeq\":1,\"born\":%d}",
                        leaving.address(), System.currentTimeMillis());
                record.add(
                        "another writer sends PUT /instances/%s to %s: %s", leaving.id, leaving.acknowledgedBy, body);
                record.add("it is answered with %d", put(leaving.acknowledgedBy, leaving.id, body));
            }
            Thread.sleep(CONTACT_MILLIS + 1_000);
            leaving.state = "draining";
            for (int i = 0; i < 100 && leaving.drainingAcknowledgedAt == 0; i++) {
                Thread.sleep(50);
            }
            if (leaving.drainingAcknowledgedAt == 0) {
                return 2;
            }
            Thread.sleep(DRAIN_MILLIS + 6_000);
            leaving.delete();
        }
        Thread.sleep(1_000);
        for (AppEngine e : engines) {
            e.close();
        }
        long late = leaving.runsAfterDraining.values().stream()
                .filter(m -> m > DRAIN_MILLIS)
                .count();
        record.add("%d requests ran in all", engines.stream().mapToInt(e -> e.runs.size()).sum());
        record.add(
                "engine %s ran %d requests after it was acknowledged as draining, %d of them later than drainMs (%d ms)",
                leaving.id, leaving.runsAfterDraining.size(), late, DRAIN_MILLIS);
        return late > 0 ? 1 : 0;
    }

    private static int put(String node, String id, String body) throws Exception {
        return HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(URI.create("http://" + node + "/instances/" + id))
                                .PUT(HttpRequest.BodyPublishers.ofString(body))
                                .header("Content-Type", "application/json")
                                .timeout(Duration.ofSeconds(1))
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .statusCode();
    }
}
