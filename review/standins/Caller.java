import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A client of an entry; each request has a connection of its own. */
final class Caller {

    private static final AtomicInteger ATTEMPTS = new AtomicInteger();
    private static final String ATTEMPT = Resources.property("header.attempt");
    private static final String DEADLINE = Resources.property("header.deadline");
    private static final long TIME_BUDGET_MILLIS = 4_000;
    /** The pieces of a body that is sent slowly. */
    private static final int PIECES = 10;

    private Caller() {}

    /**
     * Sends a request and reads the head of its answer.
     *
     * @param body the body
     * @param sendMillis the time that the body is sent in
     * @return the first line of the answer, or what happened instead
     */
    static String send(String entry, String method, String path, byte[] body, long sendMillis) {
        String[] address = entry.split(":");
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(address[0], Integer.parseInt(address[1])), 1_000);
            s.setSoTimeout((int) (2 * TIME_BUDGET_MILLIS));
            OutputStream out = s.getOutputStream();
            out.write(("%s %s HTTP/1.1\r\nHost: models.example\r\n%s: a-%d\r\n%s: %d\r\nContent-Length: %d\r\n\r\n"
                            .formatted(
                                    method, path, ATTEMPT, ATTEMPTS.incrementAndGet(), DEADLINE, TIME_BUDGET_MILLIS,
                                    body.length))
                    .getBytes(StandardCharsets.ISO_8859_1));
            int piece = (body.length + PIECES - 1) / PIECES;
            for (int from = 0; from < body.length; from += piece) {
                out.write(body, from, Math.min(piece, body.length - from));
                Thread.sleep(sendMillis / PIECES);
            }
            return readLine(s.getInputStream());
        } catch (IOException e) {
            return e.getClass().getSimpleName();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "interrupted";
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
            line.append((char) b);
        }
        return line.isEmpty() ? "closed" : line.toString().trim();
    }

    /** Returns the status of a request without a body, 0 if there is no answer. */
    static int get(String entry, String path) {
        String line = send(entry, "GET", path, new byte[0], 0);
        return line.startsWith("HTTP/1.1 ") ? Integer.parseInt(line.substring(9, 12)) : 0;
    }
}
