import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Many users send large bodies to an entry at the same time, while the operator changes a manifest that has grown by many routes.
 *
 * <p>Exits with 1 if the entry refuses a request with 404 that the newest acknowledged manifest allows, long after the last large
 * body; 0 if it serves it, 2 if the case couldn't run.
 */
public final class LargeBodiesDuringChanges {

    private static final long CONTACT_MILLIS = 3_000;
    private static final long CONFIG_APPLY_MILLIS = 2_000;
    /** RULES.md, Choked: "and 5 s after". */
    private static final long CHOKED_MILLIS = 5_000;

    private static final int ROUTES = 6_000;
    private static final int USERS = 20;
    /** Below the 4,194,304 of maxBodyBytes. */
    private static final int BODY_BYTES = 4_000_000;
    private static final long SEND_MILLIS = 2_000;
    /** The longest burst of the site file. */
    private static final long TROUBLE_MILLIS = 14_000;
    /** The densest config_storm of the site file: for_s = 2.0, gap_s = 0.08. */
    private static final long STORM_MILLIS = 2_000;
    private static final long CHANGE_GAP_MILLIS = 80;
    private static final long CALM_MILLIS = 1_500;

    private static final List<String> HOSTS = List.of("127.0.55.1", "127.0.55.2", "127.0.55.3");
    private static final String ENTRY = "127.0.55.11";

    private final Record record;
    private final Operator operator = new Operator();
    private final List<String> nodes;
    private final List<String> routes = ManyChangesThenKilled.routes(ROUTES);
    private int version;

    private LargeBodiesDuringChanges(Record record, List<String> nodes) {
        this.record = record;
        this.nodes = new ArrayList<>(nodes);
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Record record = new Record(Path.of(args[0]));
                Programs programs = new Programs()) {
            List<String> nodes = HOSTS.stream().map(programs::control).toList();
            result = new LargeBodiesDuringChanges(record, nodes).run(trouble, programs);
            record.add("result %d", result);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private int run(boolean trouble, Programs programs) throws Exception {
        for (String host : HOSTS) {
            programs.start("control", host, true, HOSTS);
        }
        programs.start("entry", ENTRY, true, HOSTS);
        record.add("started control on %s and an entry on %s, bootstrap true", HOSTS, ENTRY);
        String entry = ENTRY + ":" + programs.frontPort;
        List<AppEngine> engines = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            engines.add(new AppEngine("i-" + i, "127.0.55.2" + i, programs.frontPort, nodes));
        }
        boolean serves = change();
        for (int i = 0; serves && i < 100 && Caller.get(entry, newest()) != 200; i++) {
            Thread.sleep(200);
        }
        serves = serves && Caller.get(entry, newest()) == 200;
        record.add("manifest of %d routes, version %d: the entry serves its newest route: %s", ROUTES + 1, version, serves);
        if (!serves) {
            return 2;
        }
        Thread.sleep(CONTACT_MILLIS);
        if (!sendBodiesAndChange(entry, trouble ? USERS : 1)) {
            return 2;
        }
        // in touch again: nothing is disturbed or sent from now on but one change and some requests
        Thread.sleep(CHOKED_MILLIS + CONTACT_MILLIS);
        if (!change()) {
            return 2;
        }
        Thread.sleep(CONFIG_APPLY_MILLIS + 1_000);
        int refused = 0;
        for (int i = 0; i < 10; i++) {
            int status = Caller.get(entry, newest());
            record.add("GET %s, a route of version %d: %d", newest(), version, status);
            refused += status == 404 ? 1 : 0;
            Thread.sleep(500);
        }
        record.add("readiness of the entry: %d", Caller.get(ENTRY + ":" + programs.readyPort, "/readiness"));
        record.add("the entry runs: %s", programs.isAlive("entry", ENTRY));
        programs.log("entry", ENTRY, "OutOfMemoryError").stream()
                .filter(l -> l.contains("feeds"))
                .forEach(l -> record.add("log of the entry: %s", l));
        engines.forEach(AppEngine::close);
        return refused > 0 ? 1 : 0;
    }

    /** Lets some users send large bodies, each one after the other, and changes the manifest meanwhile. */
    private boolean sendBodiesAndChange(String entry, int users) throws InterruptedException {
        long end = System.nanoTime() + TROUBLE_MILLIS * 1_000_000;
        Map<String, Integer> answers = new TreeMap<>();
        List<Thread> threads = new ArrayList<>();
        byte[] body = new byte[BODY_BYTES];
        for (int i = 0; i < users; i++) {
            Thread t = new Thread(() -> {
                while (System.nanoTime() < end) {
                    String answer = Caller.send(entry, "POST", "/a/upload", body, SEND_MILLIS);
                    synchronized (answers) {
                        answers.merge(answer, 1, Integer::sum);
                    }
                }
            });
            t.start();
            threads.add(t);
        }
        record.add("%d users send bodies of %d bytes, each in %d ms", users, BODY_BYTES, SEND_MILLIS);
        int before = version;
        boolean acknowledged = true;
        while (acknowledged && System.nanoTime() < end) {
            long stormEnd = System.nanoTime() + STORM_MILLIS * 1_000_000;
            while (acknowledged && System.nanoTime() < Math.min(stormEnd, end)) {
                acknowledged = change();
                Thread.sleep(CHANGE_GAP_MILLIS);
            }
            Thread.sleep(CALM_MILLIS);
        }
        for (Thread t : threads) {
            t.join();
        }
        record.add("%d changes acknowledged meanwhile; the users got %s", version - before, answers);
        return acknowledged;
    }

    /** Sends the next version, which moves the newest route. */
    private boolean change() throws InterruptedException {
        version++;
        List<String> all = new ArrayList<>(routes);
        all.add(Manifests.route("r-upload", "/a/", "idempotent", 8_000));
        all.add(Manifests.route("r-newest", newest(), "idempotent", 4_000));
        Operator.Answer a = operator.callUntilAnswered("PUT", nodes, Manifests.of(version, all), 15_000);
        if (a.status() != 200) {
            record.add("PUT version %d: %d from %s", version, a.status(), a.node());
            return false;
        }
        // the next change goes to the node that has acknowledged this one
        nodes.remove(a.node());
        nodes.add(0, a.node());
        if (version % 10 == 1) {
            record.add("PUT version %d: %d from %s", version, a.status(), a.node());
        }
        return true;
    }

    private String newest() {
        return "/newest" + version + "/";
    }
}
