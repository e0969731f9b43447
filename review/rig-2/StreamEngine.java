import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** An engine whose answers are streams of five events; while it is in trouble, bytes that are no event follow the head without end. */
final class StreamEngine extends Engine {

    private static final int PART_BYTES = 65_536;

    volatile boolean inTrouble;

    StreamEngine(Rig rig, String id, int number) throws IOException {
        super(rig, id, "talk", number, 1, 3);
    }

    @Override
    boolean run(Run run, Map<String, String> headers, byte[] body, OutputStream out) throws IOException {
        out.write(("HTTP/1.1 200 OK\r\n" + Wire.ATTEMPT_ID + ": " + run.attempt() + "\r\n" + Wire.STAMP + ": " + id + "." + run.at()
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        if (inTrouble) {
            while (!ended) {
                chunk(out, "x".repeat(PART_BYTES));
            }
        }
        for (int i = 1; i <= 5; i++) {
            chunk(out, "id: " + i + "\ndata: " + id + "\n\n");
            Rig.sleep(30);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        return true;
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
