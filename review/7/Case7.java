import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** An entry that starts again sends requests to an engine whose end was acknowledged, if the instance that had acknowledged it starts again too. */
public final class Case7 {

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Rig rig = new Rig(Path.of(args[0]), 3)) {
            code = play(rig, trouble);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static int play(Rig rig, boolean trouble) throws Exception {
        for (int n = 1; n <= 3; n++) {
            rig.startControl(n, true);
        }
        rig.startEntry(1, true);
        rig.startEntry(2, true);
        if (rig.configure(Wire.manifest("plain.json", 1), 20_000) == 0) {
            return 2;
        }
        List<Engine> engines = new ArrayList<>();
        for (int n = 1; n <= 3; n++) {
            engines.add(new Engine(rig, "i-" + n, "kitchen", n, 1, 3));
        }
        if (!rig.await("entries ready", 20_000, () -> rig.isReady(1) && rig.isReady(2))) {
            return 2;
        }
        Engine leaver = engines.get(0);
        Rig.sleep(3_000);
        // the engine had called instance 2 with one of its check-ins first, without an ack within a second; it arrives late
        String late = leaver.announcement();
        Rig.sleep(2_000);
        rig.log("a late check-in of %s arrives at control2: %s", leaver.id, leaver.send("PUT", late, rig.controlApi(2)));
        send(rig, 1, 20, "before1-");
        send(rig, 2, 20, "before2-");
        Rig.sleep(4_000);
        int by = leaver.leave();
        long ackAt = rig.millis();
        rig.log("%s leaves: DELETE acknowledged by control%d", leaver.id, by);
        if (by != 1) {
            return 2;
        }
        Rig.sleep(300);
        if (trouble) {
            rig.killAtOnce("control1", "entry1");
            Rig.sleep(1_000);
            rig.startControl(1, false);
            rig.startEntry(1, false);
        }
        rig.await("entry 1 ready again", 10_000, () -> rig.isReady(1));
        rig.log("entry1 is ready");
        long inTouchAt = Math.max(
                ackAt + Rig.DRAIN_MS, Math.max(rig.changedAt("control1"), rig.changedAt("entry1")) + Rig.CONTACT_MS);
        Rig.sleep(inTouchAt + 700 - rig.millis());
        // the engine has served long enough, and ends
        engines.forEach(e -> e.workMillis = 300);
        long sentFrom = rig.millis();
        Engine.daemon(() -> {
            Rig.sleep(700);
            try {
                leaver.close();
                rig.log("%s ends", leaver.id);
            } catch (java.io.IOException e) {
                rig.log("%s", e);
            }
        });
        send(rig, 1, 24, "after1-");
        send(rig, 2, 24, "after2-");
        Rig.sleep(1_000);
        int broken = 0;
        for (Engine.Run r : leaver.runs) {
            boolean late2 = r.at() > ackAt + Rig.DRAIN_MS && r.at() >= sentFrom;
            broken += late2 ? 1 : 0;
            if (r.at() > ackAt) {
                rig.log("%s runs %s %d ms after the ack%s", r.engine(), r.attempt(), r.at() - ackAt, late2 ? ": DRAIN" : "");
            }
        }
        rig.log("%d requests reached %s later than drainMs after the ack", broken, leaver.id);
        return broken > 0 ? 1 : 0;
    }

    /** Sends requests of a few clients at once. */
    private static void send(Rig rig, int entry, int count, String prefix) throws Exception {
        ExecutorService pool = Executors.newFixedThreadPool(12);
        List<Future<String>> all = new ArrayList<>();
        InetSocketAddress to = rig.entry(entry);
        for (int i = 0; i < count; i++) {
            String attempt = prefix + i;
            all.add(pool.submit(() -> {
                try {
                    Rig.Response r = Rig.call(
                            to,
                            "POST",
                            "/label/x",
                            Map.of(
                                    "Host", Rig.HOST,
                                    Wire.ATTEMPT_ID, attempt,
                                    Wire.DEADLINE, "4000",
                                    Wire.KEY, "key-1"),
                            "{}".getBytes(),
                            5_000);
                    return r.status + " " + r.header(Wire.lower(Wire.STAMP)).replaceAll("\\..*", "");
                } catch (Exception e) {
                    return e.toString();
                }
            }));
        }
        Map<String, Integer> outcomes = new TreeMap<>();
        for (Future<String> f : all) {
            outcomes.merge(f.get(), 1, Integer::sum);
        }
        pool.shutdown();
        rig.log("entry%d, %d requests %s*: %s", entry, count, prefix, outcomes);
    }
}
