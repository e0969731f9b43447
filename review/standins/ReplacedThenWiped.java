import java.nio.file.Path;
import java.util.List;

/**
 * A control machine is replaced as planned, and right after that the machine that has acknowledged a change loses its disk.
 *
 * <p>Exits with 1 if the acknowledged manifest can't be read afterwards, 0 if it can, 2 if the case couldn't run.
 */
public final class ReplacedThenWiped {

    private static final long CATCH_UP_MILLIS = 4_000;
    private static final long GRACE_MILLIS = 8_000;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long RECOVER_MILLIS = 12_000;

    private ReplacedThenWiped() {}

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
        Operator operator = new Operator();
        List<String> first = List.of("127.0.51.1", "127.0.51.2", "127.0.51.3");
        String added = "127.0.51.4";
        for (String host : first) {
            programs.start("control", host, true, first);
        }
        record.add("started control on %s, bootstrap true", first);
        Operator.Answer a = operator.callUntilAnswered(
                "PUT", first.stream().map(programs::control).toList(), Manifests.plain(1), 20_000);
        record.add("PUT version 1: %d from %s", a.status(), a.node());
        if (a.status() != 200) {
            return 2;
        }
        String leader = a.node().split(":")[0];
        String removed = first.stream().filter(h -> !h.equals(leader)).findFirst().orElseThrow();
        List<String> left = first.stream().filter(h -> !h.equals(removed)).toList();

        programs.start("control", added, false, first);
        record.add("started control on %s with an empty disk, bootstrap false: the successor of %s", added, removed);
        // the new machine counts once it has had catchUpS, the one that it replaces no longer does
        Thread.sleep(CATCH_UP_MILLIS + CONTACT_MILLIS);
        a = operator.callUntilAnswered("GET", List.of(programs.control(added)), null, 10_000);
        record.add("GET at the successor: %d", a.status());
        if (a.status() != 200) {
            return 2;
        }
        programs.terminate("control", removed, GRACE_MILLIS);
        record.add("SIGTERM to %s, which has ended and is gone for good", removed);

        List<String> nodes = List.of(
                programs.control(left.get(0)), programs.control(left.get(1)), programs.control(added));
        a = operator.callUntilAnswered("PUT", nodes, Manifests.plain(2), 20_000);
        record.add("PUT version 2: %d from %s", a.status(), a.node());
        if (a.status() != 200) {
            return 2;
        }
        String acknowledged = a.node().split(":")[0];
        if (trouble) {
            programs.kill("control", acknowledged);
            programs.wipe(acknowledged);
            record.add("%s, which has acknowledged version 2, is killed and loses its disk", acknowledged);
            Thread.sleep(1_000);
            programs.start("control", acknowledged, false, List.of(left.get(0), left.get(1), added));
            record.add("%s is started again with an empty disk, bootstrap false", acknowledged);
        }
        // recoverS after all machines are back, and much longer
        int result = Manifests.readBack(record, operator, nodes, 2, 3 * RECOVER_MILLIS + CONTACT_MILLIS);
        for (String host : List.of(left.get(0), left.get(1), added)) {
            record.add("%s runs: %s", host, programs.isAlive("control", host));
        }
        return result;
    }
}
