import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * A manifest has grown by many routes, and the operator has changed it some hundred times. Then all processes of the core are killed at the
 * same moment and started again with their disks.
 *
 * <p>Exits with 1 if the newest acknowledged manifest can't be read afterwards, 0 if it can, 2 if the case couldn't run.
 */
public final class ManyChangesThenKilled {

    private static final long CONTACT_MILLIS = 3_000;
    private static final long RECOVER_MILLIS = 12_000;
    /** The provider starts a process that has ended again after a short delay. */
    private static final long RESTART_MILLIS = 1_000;

    /** Eleven times what one big_config adds on the sites' days. */
    private static final int ROUTES = 11 * 410;
    /** PROTOCOL.md: "a day may be long and contain hundreds of changes". */
    private static final int CHANGES = 500;

    private static final List<String> HOSTS = List.of("127.0.54.1", "127.0.54.2", "127.0.54.3");

    private ManyChangesThenKilled() {}

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
        for (String host : HOSTS) {
            programs.start("control", host, true, HOSTS);
        }
        List<String> nodes = HOSTS.stream().map(programs::control).toList();
        record.add("started control on %s, bootstrap true", HOSTS);
        Operator operator = new Operator();
        List<String> routes = routes();
        List<String> order = new ArrayList<>(nodes);
        for (int version = 1; version <= CHANGES; version++) {
            String body = Manifests.of(version, routes);
            Operator.Answer a = operator.callUntilAnswered("PUT", order, body, 15_000);
            if (a.status() != 200) {
                record.add("PUT version %d: %d from %s", version, a.status(), a.node());
                return 2;
            }
            // the next change goes to the node that has acknowledged this one
            order.remove(a.node());
            order.add(0, a.node());
            if (version == 1 || version % 50 == 0) {
                record.add("PUT version %d, %d bytes: %d from %s", version, body.length(), a.status(), a.node());
            }
        }
        for (String host : HOSTS) {
            record.add("%s: %d bytes of entries on disk", host, Files.size(programs.dataFolder(host).resolve("entries")));
        }
        Thread restarts = new Thread(() -> keepRunning(record, programs));
        restarts.setDaemon(true);
        if (trouble) {
            for (String host : HOSTS) {
                programs.signal("control", host, "KILL");
            }
            record.add("all processes of the core are killed; their disks stay");
            restarts.start();
        }
        int result = Manifests.readBack(record, operator, nodes, CHANGES, 2 * RECOVER_MILLIS + CONTACT_MILLIS);
        restarts.interrupt();
        restarts.join();
        for (String host : HOSTS) {
            record.add(
                    "%s: %d lines of its log with OutOfMemoryError",
                    host, programs.log("control", host, "OutOfMemoryError").size());
        }
        return result;
    }

    /** Starts processes that have ended again, as the provider does. */
    private static void keepRunning(Record record, Programs programs) {
        try {
            while (true) {
                Thread.sleep(RESTART_MILLIS);
                for (String host : HOSTS) {
                    if (!programs.isAlive("control", host)) {
                        record.add("control on %s has ended with %d, it is started again", host, 
                                programs.exitCode("control", host));
                        programs.start("control", host, false, HOSTS);
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (java.io.IOException e) {
            record.add("%s", e);
        }
    }

    private static List<String> routes() {
        Random random = new Random(51);
        List<String> out = new ArrayList<>();
        for (int i = 0; i < ROUTES; i++) {
            String name = "r-" + word(random, 7);
            String prefix = "/" + word(random, 4) + i + "/";
            out.add(Manifests.route(name, prefix, "idempotent", 1_000 + 500 * random.nextInt(10)));
        }
        return out;
    }

    private static String word(Random random, int length) {
        StringBuilder out = new StringBuilder();
        for (int i = 0; i < length; i++) {
            out.append(Character.forDigit(random.nextInt(36), 36));
        }
        return out.toString();
    }
}
