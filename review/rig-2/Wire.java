import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Properties;

/** The names and manifests of the platform's pages, from files beside the classes. */
final class Wire {

    private static final Properties NAMES = load();

    static final String ATTEMPT_ID = name("attempt.id");
    static final String DEADLINE = name("deadline");
    static final String KEY = name("key");
    static final String STAMP = name("stamp");
    static final String EXPECTED_INSTANCE = name("expected.instance");
    static final String INSTANCE_ID = name("instance.id");
    static final String NOT_RUN = name("not.run");
    static final String TENANT = name("tenant");

    private Wire() {}

    private static Properties load() {
        Properties out = new Properties();
        try (InputStream in = Wire.class.getResourceAsStream("wire.properties")) {
            out.load(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out;
    }

    static String name(String key) {
        return NAMES.getProperty(key);
    }

    /** Returns a header name as the keys of received headers have it. */
    static String lower(String header) {
        return header.toLowerCase(Locale.ROOT);
    }

    /** Returns a manifest with a version. */
    static String manifest(String file, int version) {
        try (InputStream in = Wire.class.getResourceAsStream(file)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).replace("VERSION", Integer.toString(version));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
