import java.util.List;

/** Manifests of the operator, and the reads at the end of a day. */
final class Manifests {

    private static final int GOOD_READS = 6;
    private static final String MANIFEST = Resources.text("manifest.json");
    private static final String ROUTE = Resources.text("route.json");

    private Manifests() {}

    /** Returns a manifest with one idempotent and one non-idempotent route to a plain service. */
    static String plain(int version) {
        int timeout = 4_000 + version;
        return of(
                version,
                List.of(
                        route("r-1", "/a/", "idempotent", timeout),
                        route("r-2", "/b/", "non_idempotent", timeout)));
    }

    static String of(int version, List<String> routes) {
        return MANIFEST.replace("@version@", Integer.toString(version))
                .replace("@routes@", String.join(",", routes));
    }

    static String route(String name, String prefix, String kind, int timeoutMillis) {
        return ROUTE.replace("@name@", name)
                .replace("@prefix@", prefix)
                .replace("@kind@", kind)
                .replace("@timeout@", Integer.toString(timeoutMillis));
    }

    /**
     * Reads the manifest at the nodes in turn.
     *
     * @return 0 if some reads in a row give the version, 1 if none does in time or an older version is read
     */
    static int readBack(Record record, Operator operator, List<String> nodes, int version, long millis)
            throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        int reads = 0;
        int good = 0;
        while (System.nanoTime() < end) {
            String node = nodes.get(reads++ % nodes.size());
            Operator.Answer a = operator.call("GET", node, null);
            boolean newest = a.status() == 200 && a.body().contains("\"version\":" + version + ",");
            record.add("GET at %s: %d from %s%s", node, a.status(), a.node(), newest ? ", version " + version : "");
            if (a.status() == 200 && !newest) {
                record.add("an older manifest: %s", a.body());
                return 1;
            }
            good += newest ? 1 : 0;
            if (good >= GOOD_READS) {
                record.add("the acknowledged manifest is read back, after %d reads without it", reads - good);
                return 0;
            }
            Thread.sleep(500);
        }
        Operator.Answer a = operator.callUntilAnswered("PUT", nodes, plain(version + 1), 5_000);
        record.add("PUT version %d: %d from %s", version + 1, a.status(), a.node());
        record.add(
                "the acknowledged manifest is gone: %d reads in %d s, %d with it", reads, millis / 1_000, good);
        return 1;
    }
}
