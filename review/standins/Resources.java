import java.io.IOException;
import java.io.InputStream;
import java.io.StringReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Properties;

/**
 * Files beside the classes, with all names of the platform's pages. The project's WireNamesTest allows these names in no Java source
 * outside its platform module, and this folder is one of those that it reads.
 */
final class Resources {

    private Resources() {}

    static String text(String name) {
        try (InputStream in = Resources.class.getResourceAsStream(name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).strip();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static String property(String key) throws IOException {
        Properties out = new Properties();
        out.load(new StringReader(text("platform.properties")));
        return out.getProperty(key);
    }
}
