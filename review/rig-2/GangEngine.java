import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A sound model engine that serves in groups: it takes orders, checks in at once after each change, and streams events while it is an open head. */
final class GangEngine extends Engine {

    static final String MODEL = "m0";

    /** A join that an engine has accepted, and what its group was before. */
    record Accepted(String engine, String group, String before, String beforeHead, String beforeHeadState, long at) {}

    private static final long LOAD_MILLIS = 500;
    private static final long WARM_MILLIS = 300;
    private static final long REJOIN_MILLIS = 200;
    private static final long FORM_MILLIS = 300;

    private final Map<String, GangEngine> fleet;
    final List<Accepted> accepted;
    volatile boolean staged;
    volatile boolean held;
    volatile String group;
    volatile long epoch;
    volatile int rank;
    volatile String state;
    volatile List<String> members = List.of();
    /** Whether one check-in, the first with a model on the host and without a group, arrives later than all others. */
    volatile boolean holdsOne;
    volatile String heldCheckIn;
    private long highestEpoch;
    private long highestFence;
    private long change;
    private int orders;

    GangEngine(
            Rig rig, String id, int number, int control, int controls, Map<String, GangEngine> fleet, List<Accepted> accepted)
            throws IOException {
        super(rig, id, "llm", number, control, controls);
        this.fleet = fleet;
        this.accepted = accepted;
        fleet.put(id, this);
    }

    @Override
    String announcement() {
        String base = super.announcement();
        return base.substring(0, base.length() - 1) + ",\"stage\":\"prefill_decode\"," + engineFields() + "}";
    }

    /** Returns what the engine tells wherever it tells its models. */
    private String engineFields() {
        String g = group == null
                ? "null"
                : "{\"name\":\"" + group + "\",\"epoch\":" + epoch + ",\"rank\":" + rank + ",\"state\":\"" + state + "\"}";
        String models = group != null && !"joining".equals(state)
                ? "{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":[]}"
                : "";
        return "\"models\":[" + models + "],\"domain\":\"d0\",\"staged\":[" + (staged ? "\"" + MODEL + "\"" : "")
                + "],\"group\":" + g;
    }

    @Override
    boolean send(String method, String body, java.net.InetSocketAddress to) {
        if (holdsOne && heldCheckIn == null && body.contains("\"staged\":[\"" + MODEL + "\"],\"group\":null")) {
            heldCheckIn = body;
            rig.log("%s: no ack of a check-in, which will arrive late: %s", id, body);
            Rig.sleep(1_000);
            return false;
        }
        return super.send(method, body, to);
    }

    private void changed() {
        daemon(this::tell);
    }

    private void later(long millis, long expected, Runnable step) {
        daemon(() -> {
            Rig.sleep(millis);
            synchronized (this.members()) {
                if (change == expected) {
                    step.run();
                    changed();
                }
            }
        });
    }

    /** The lock of the state; check-ins have another one. */
    private Object members() {
        return accepted;
    }

    private static String text(String json, String field) {
        Matcher m = Pattern.compile("\"" + field + "\":\"([^\"]*)\"").matcher(json);
        return m.find() ? m.group(1) : null;
    }

    private static long number(String json, String field) {
        Matcher m = Pattern.compile("\"" + field + "\":(\\d+)").matcher(json);
        return m.find() ? Long.parseLong(m.group(1)) : 0;
    }

    private int order(String json) {
        synchronized (members()) {
            long fence = number(json, Wire.name("fence"));
            if (fence < highestFence) {
                return 412;
            }
            highestFence = fence;
            String op = text(json, "op");
            String name = text(json, "group");
            long e = number(json, "epoch");
            switch (op) {
                case "stage":
                    if (staged) {
                        return 200;
                    }
                    orders++;
                    daemon(() -> {
                        Rig.sleep(LOAD_MILLIS);
                        staged = true;
                        changed();
                    });
                    return 202;
                case "join":
                    return join(json, name, e);
                case "open":
                    if (!name.equals(group) || e != epoch || rank != 0) {
                        return 409;
                    }
                    if (state.equals("open")) {
                        return 200;
                    }
                    if (!state.equals("ready")) {
                        return 409;
                    }
                    orders++;
                    later(FORM_MILLIS, change, () -> state = "open");
                    return 202;
                case "close":
                    if (!name.equals(group) || e != epoch) {
                        return 409;
                    }
                    change++;
                    state = "ready";
                    changed();
                    return 202;
                case "leave":
                    if (!name.equals(group) || e != epoch) {
                        return 409;
                    }
                    change++;
                    group = null;
                    changed();
                    return 202;
                default:
                    return 400;
            }
        }
    }

    private int join(String json, String name, long e) {
        Matcher m = Pattern.compile("\"members\":\\[([^\\]]*)\\]").matcher(json);
        List<String> list = new ArrayList<>();
        if (m.find()) {
            for (String s : m.group(1).split(",")) {
                list.add(s.replace("\"", "").trim());
            }
        }
        boolean same = name.equals(group) && e == epoch;
        if (e < highestEpoch || same && !list.equals(members)) {
            return 412;
        }
        if (same) {
            return 200;
        }
        if (group != null && !members.isEmpty()) {
            GangEngine head = fleet.get(members.get(0));
            boolean heads = head != null && group.equals(head.group) && head.epoch == epoch && head.rank == 0;
            accepted.add(new Accepted(id, name, group, members.get(0), heads ? head.state : "none", rig.millis()));
        } else {
            accepted.add(new Accepted(id, name, null, null, "none", rig.millis()));
        }
        highestEpoch = e;
        orders++;
        change++;
        group = name;
        epoch = e;
        rank = list.indexOf(id);
        members = list;
        state = "joining";
        long millis = held ? REJOIN_MILLIS : staged ? WARM_MILLIS : LOAD_MILLIS;
        later(millis, change, () -> {
            state = "ready";
            staged = true;
            held = true;
        });
        changed();
        return 202;
    }

    @Override
    boolean serveControl(String method, String path, String body, OutputStream out) throws IOException {
        if (path.equals("/order")) {
            int status = order(body);
            rig.log("%s: order %s: %d", id, body, status);
            answer(out, status, null, Map.of(), "");
            return true;
        }
        if (path.equals("/report")) {
            answer(
                    out,
                    200,
                    null,
                    Map.of("Content-Type", "application/json"),
                    "{\"stage\":\"prefill_decode\"," + engineFields() + ",\"born\":" + born + ",\"busy\":false,\"" + Wire.name("check.in.number") + "\":" + orders
                            + ",\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":90000,\"handles\":0,\"pace\":1}");
            return true;
        }
        return false;
    }

    boolean isOpenHead() {
        return group != null && rank == 0 && "open".equals(state);
    }

    @Override
    boolean run(Run run, Map<String, String> headers, byte[] body, OutputStream out) throws IOException {
        String mine = group;
        if (!isOpenHead()) {
            runs.remove(run);
            answer(out, 421, run.attempt(), Map.of("At-Server", id), "");
            return true;
        }
        int from = Integer.parseInt(headers.getOrDefault("last-event-id", "0"));
        Map<String, String> head = new LinkedHashMap<>(stamp());
        head.put(Wire.ATTEMPT_ID, run.attempt());
        head.put("Content-Type", "text/event-stream");
        head.put("Transfer-Encoding", "chunked");
        StringBuilder start = new StringBuilder("HTTP/1.1 200 OK\r\n");
        head.forEach((k, v) -> start.append(k).append(": ").append(v).append("\r\n"));
        out.write(start.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        for (int i = from + 1; i <= 10; i++) {
            Rig.sleep(40);
            if (!mine.equals(group) || !isOpenHead()) {
                throw new IOException("the group no longer serves");
            }
            String event = "id: " + i + "\ndata: " + id + "\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        return true;
    }
}
