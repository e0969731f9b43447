import java.nio.file.Path;
import java.util.List;

/**
 * A control machine is down while the two others are replaced as planned. It comes back with its disk. Later one disk is lost.
 *
 * <p>Exits with 1 if the acknowledged manifest can't be read afterwards, 0 if it can, 2 if the case couldn't run.
 */
public final class BackAfterReplacements {

    private static final long CATCH_UP_MILLIS = 4_000;
    private static final long GRACE_MILLIS = 8_000;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long RECOVER_MILLIS = 12_000;

    private BackAfterReplacements() {}

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
        List<String> first = List.of("127.0.52.1", "127.0.52.2", "127.0.52.3");
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
        String down = first.stream().filter(h -> !h.equals(leader)).findFirst().orElseThrow();
        List<String> replaced =
                first.stream().filter(h -> !h.equals(down)).toList();
        String d = "127.0.52.4";
        String e = "127.0.52.5";

        long downSince = System.nanoTime();
        if (trouble) {
            programs.kill("control", down);
            record.add("%s loses power; its disk stays", down);
        }
        // each successor counts once it has had catchUpS, and the machine that it replaces no longer does
        if (!replace(record, programs, operator, replaced.get(0), d, List.of(replaced.get(0), replaced.get(1), d))
                || !replace(record, programs, operator, replaced.get(1), e, List.of(replaced.get(1), d, e))) {
            return 2;
        }
        List<String> now = List.of(down, d, e);
        List<String> nodes = now.stream().map(programs::control).toList();
        if (trouble) {
            programs.start("control", down, false, now);
            record.add(
                    "%s is back with its disk after %.1f s, bootstrap false, seeds %s",
                    down, (System.nanoTime() - downSince) / 1e9, now);
        }
        // much longer than catchUpS and contactMs
        Thread.sleep(2 * (CATCH_UP_MILLIS + CONTACT_MILLIS));
        for (String node : nodes) {
            a = operator.call("GET", node, null);
            record.add("GET at %s: %d from %s: %s", node, a.status(), a.node(), a.status() == 200 ? "" : a.body().trim());
        }
        record.add(
                "check-in of an engine at %s: %d (for the record, not judged)",
                down, operator.checkIn(programs.control(down)));
        a = operator.callUntilAnswered("PUT", nodes, Manifests.plain(2), 20_000);
        record.add("PUT version 2: %d from %s", a.status(), a.node());
        if (a.status() != 200) {
            return 2;
        }
        String acknowledged = a.node().split(":")[0];
        programs.kill("control", acknowledged);
        programs.wipe(acknowledged);
        record.add("%s, which has acknowledged version 2, is killed and loses its disk", acknowledged);
        Thread.sleep(1_000);
        programs.start("control", acknowledged, false, now);
        record.add("%s is started again with an empty disk, bootstrap false", acknowledged);
        return Manifests.readBack(record, operator, nodes, 2, 3 * RECOVER_MILLIS + CONTACT_MILLIS);
    }

    private static boolean replace(
            Record record, Programs programs, Operator operator, String old, String successor, List<String> seeds)
            throws Exception {
        programs.start("control", successor, false, seeds);
        record.add("started control on %s with an empty disk, bootstrap false: the successor of %s", successor, old);
        Thread.sleep(CATCH_UP_MILLIS);
        Operator.Answer a = operator.callUntilAnswered("GET", List.of(programs.control(successor)), null, 15_000);
        record.add("GET at the successor: %d", a.status());
        if (a.status() != 200) {
            return false;
        }
        programs.terminate("control", old, GRACE_MILLIS);
        record.add("SIGTERM to %s, which has ended and is gone for good", old);
        // a manifest is acknowledged without the old machine
        a = operator.callUntilAnswered("GET", List.of(programs.control(successor)), null, 15_000);
        return a.status() == 200;
    }
}
