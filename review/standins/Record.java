import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the seconds since the start. */
final class Record implements AutoCloseable {

    private final long start = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    double seconds() {
        return (System.nanoTime() - start) / 1e9;
    }

    synchronized void add(String format, Object... args) {
        String line = String.format("%8.3f  ", seconds()) + String.format(format, args);
        out.println(line);
        System.out.println(line);
    }

    @Override
    public void close() {
        out.close();
    }
}
