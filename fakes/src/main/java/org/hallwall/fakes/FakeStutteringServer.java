/*
 * Licensed to the hallwall project under one or more contributor
 * license agreements.  See the NOTICE file distributed with
 * this work for additional information regarding copyright
 * ownership.  The hallwall project licenses this file to You
 * under the Apache License, Version 2.0 (the "License"); you may
 * not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *   https://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing,
 * software distributed under the License is distributed on an
 * "AS IS" BASIS, WITHOUT WARRANTIES OR CONDITIONS OF ANY
 * KIND, either express or implied.  See the License for the
 * specific language governing permissions and limitations
 * under the License.
 */
package org.hallwall.fakes;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import org.hallwall.core.settings.NetAddress;

/** An HTTP server that responds to each request twice, for tests of clients that reuse connections. */
public final class FakeStutteringServer implements Closeable {

    /** When the second response to a request is sent. */
    public enum Timing {
        /** In the same write as the first response. */
        BEHIND,
        /** On the idle connection, by {@link #sendLateResponses}. */
        LATER,
        /** In the place where the response to the next request is due, before that response. */
        WHEN_DUE,
        /** A part behind the first response, and the rest in the place where the response to the next request is due. */
        SPLIT
    }

    /** Creates responses. */
    public interface Script {

        /**
         * Returns the response to a request.
         *
         * @param run the number of the request at this server, starting at 1
         * @param line the request line
         * @return the response, head and body
         */
        String respond(int run, String line);
    }

    private static final int BACKLOG = 512;

    private final ServerSocket server;
    private final Timing timing;
    private final Script first;
    private final Script second;
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger connections = new AtomicInteger();
    private final List<Connection> open = new CopyOnWriteArrayList<>();

    /**
     * Starts a server on a free port.
     *
     * @param timing when the second responses are sent
     * @param first creates the responses
     * @param second creates the second responses
     * @throws IOException if no port can be opened
     */
    public FakeStutteringServer(Timing timing, Script first, Script second) throws IOException {
        this.timing = timing;
        this.first = first;
        this.second = second;
        server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        startThread(this::accept);
    }

    /**
     * Returns a response with a body of a given length.
     *
     * @param status the status
     * @param type the content type
     * @param body the body
     * @return the response, head and body
     */
    public static String response(int status, String type, String body) {
        return "HTTP/1.1 %d Status\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s"
                .formatted(status, type, body.length(), body);
    }

    /**
     * Returns the address.
     *
     * @return the address
     */
    public NetAddress address() {
        return new NetAddress("127.0.0.1", server.getLocalPort());
    }

    /**
     * Returns the number of requests received.
     *
     * @return the number
     */
    public int requests() {
        return requests.get();
    }

    /**
     * Returns the number of connections accepted.
     *
     * @return the number
     */
    public int connections() {
        return connections.get();
    }

    /** Sends the second responses that are due later. */
    public void sendLateResponses() {
        if (timing == Timing.LATER) {
            open.forEach(Connection::sendOwed);
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                connections.incrementAndGet();
                startThread(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        Connection connection = new Connection(socket);
        open.add(connection);
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String line = readRequest(in); line != null; line = readRequest(in)) {
                int run = requests.incrementAndGet();
                connection.respond(timing, first.respond(run, line), second.respond(run, line));
            }
        } catch (IOException e) {
            // closed by the client
        } finally {
            open.remove(connection);
        }
    }

    private static void startThread(Runnable task) {
        Thread t = new Thread(task, "stuttering-server");
        t.setDaemon(true);
        t.start();
    }

    private static String readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        int length = 0;
        boolean chunked = false;
        for (String h = line; h != null && !h.isEmpty(); h = readLine(in)) {
            String header = h.toLowerCase(Locale.ROOT);
            if (header.startsWith("content-length:")) {
                length = Integer.parseInt(
                        header.substring(header.indexOf(':') + 1).strip());
            }
            chunked |= header.startsWith("transfer-encoding:");
        }
        in.readNBytes(length);
        for (int size = chunked ? readChunk(in) : 0; size > 0; size = readChunk(in)) {
            // the body is not used
        }
        return line;
    }

    private static int readChunk(InputStream in) throws IOException {
        int size = Integer.parseInt(readLine(in), 16);
        in.readNBytes(size);
        readLine(in);
        return size;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder out = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return out.toString().strip();
            }
            out.append((char) b);
        }
        return null;
    }

    @Override
    public void close() {
        try {
            server.close();
            for (Connection c : open) {
                c.socket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A connection, and the rest of a second response that is owed on it. */
    private static final class Connection {

        private final Socket socket;
        private String owed = "";

        Connection(Socket socket) {
            this.socket = socket;
        }

        synchronized void respond(Timing timing, String response, String surplus) throws IOException {
            int sentNow = switch (timing) {
                case BEHIND -> surplus.length();
                case SPLIT -> surplus.indexOf("\r\n\r\n") / 2;
                default -> 0;
            };
            write(owed + response + surplus.substring(0, sentNow));
            owed = surplus.substring(sentNow);
        }

        synchronized void sendOwed() {
            try {
                write(owed);
            } catch (IOException e) {
                // closed by the client
            }
            owed = "";
        }

        private void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
        }
    }
}
