import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** While a new control instance joins and another is frozen, a third loses its disk; the acknowledged manifest cannot be read any more. */
public final class Case4 {

    /** The site freezes a core machine for 4 s at most. */
    private static final int FREEZE_MILLIS = 3_900;
    private static final int RECOVER_MILLIS = 12_000;

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
        int leader = rig.configure(Wire.manifest("plain.json", 1), 20_000);
        if (leader == 0) {
            return 2;
        }
        rig.log("control%d acknowledged manifest 1", leader);
        Engine engine = new Engine(rig, "i-1", "kitchen", 1, leader, 3);
        rig.await("the entry is ready", 10_000, () -> rig.isReady(1));
        Rig.sleep(1_000);
        int frozen = leader % 3 + 1;
        int acked = 1;
        long frozenAt = rig.millis();
        if (trouble) {
            rig.signal("control" + frozen, "STOP");
            Rig.sleep(500);
        }
        // planned: the machine that is to replace another one starts
        rig.startControl(4, false);
        String last = "control" + leader;
        if (trouble) {
            if (!rig.await("two voters", frozenAt + FREEZE_MILLIS - 100 - rig.millis(), () -> voters(rig, last) == 2)) {
                rig.signal("control" + frozen, "CONT");
                return 2;
            }
            rig.log("control%d knows two voters", leader);
            int[] to = {leader};
            Rig.Response ack = rig.callControl(to, "PUT", "/config", Wire.manifest("plain.json", 2));
            int by = to[0];
            if (ack == null || ack.status != 200) {
                rig.log("no ack of manifest 2: %s", ack);
                rig.signal("control" + frozen, "CONT");
                return 2;
            }
            acked = 2;
            rig.log("control%d acknowledged manifest 2", by);
            rig.killAtOnce("control" + by);
            rig.loseDisk("control" + by);
            Rig.sleep(Math.max(0, frozenAt + FREEZE_MILLIS - rig.millis()));
            rig.signal("control" + frozen, "CONT");
            rig.startControl(by, false);
        } else {
            Rig.sleep(FREEZE_MILLIS);
            acked = rig.configure(Wire.manifest("plain.json", 2), 5_000) == 0 ? 1 : 2;
        }
        rig.controls(4);
        long backAt = rig.millis();
        int read = 0;
        // recoverS and more: the operator reads at all control instances in turn
        while (rig.millis() < backAt + RECOVER_MILLIS + 8_000 && read == 0) {
            for (int n = 1; n <= 4 && read == 0; n++) {
                int[] node = {n};
                Rig.Response r = rig.callControl(node, "GET", "/config", null);
                if (r != null && r.status == 200) {
                    Matcher m = Pattern.compile("\"version\":(\\d+)").matcher(new String(r.body));
                    read = m.find() ? Integer.parseInt(m.group(1)) : -1;
                    rig.log("control%d answers version %d, %d ms after all are back", node[0], read, rig.millis() - backAt);
                }
            }
            Rig.sleep(300);
        }
        for (int n = 1; n <= 4; n++) {
            int[] node = {n};
            rig.log("control%d runs: %s, GET /config: %s", n, rig.isRunning("control" + n), rig.callControl(node, "GET", "/config", null));
        }
        int third = rig.configure(Wire.manifest("plain.json", 3), 5_000);
        rig.log(third == 0 ? "no ack of manifest 3" : "control%d acknowledged manifest 3", third);
        rig.log("acknowledged %d, read %d", acked, read);
        return read < acked ? 1 : 0;
    }

    /** Returns the number of voters that a control instance has logged last. */
    private static int voters(Rig rig, String name) {
        try {
            Matcher m = Pattern.compile("the voters are now \\[([^\\]]*)\\]").matcher(rig.programLog(name));
            int count = 3;
            while (m.find()) {
                count = m.group(1).split(",").length;
            }
            return count;
        } catch (java.io.IOException e) {
            return 0;
        }
    }
}
