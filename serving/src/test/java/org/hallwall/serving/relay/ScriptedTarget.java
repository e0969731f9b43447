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
package org.hallwall.serving.relay;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

/** A target with scripted raw responses, including malformed ones. */
final class ScriptedTarget implements Closeable {

    /** Responds to requests. */
    interface Script {

        /**
         * Responds to a request.
         *
         * @param request the request
         * @param connection the connection
         * @throws IOException if the client has disconnected
         */
        void respond(Request request, Connection connection) throws IOException;
    }

    /** A received request. */
    record Request(String line, Map<String, String> headers, String body) {}

    /** More connections than a test opens at once; beyond, connects time out instead of being refused. */
    private static final int ACCEPT_QUEUE = 512;

    private final ServerSocket server;
    private final Script script;
    private final List<Request> requests = new CopyOnWriteArrayList<>();
    private final CountDownLatch closedByCaller = new CountDownLatch(1);

    ScriptedTarget(Script script) throws IOException {
        this.script = script;
        this.server = new ServerSocket(0, ACCEPT_QUEUE, InetAddress.getLoopbackAddress());
        Thread t = new Thread(this::accept, "scripted-target");
        t.setDaemon(true);
        t.start();
    }

    int port() {
        return server.getLocalPort();
    }

    List<Request> requests() {
        return requests;
    }

    /** Counted down when a client closes a connection while a response is pending. */
    CountDownLatch closedByCaller() {
        return closedByCaller;
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket s = server.accept();
                Thread t = new Thread(() -> serve(s), "scripted-connection");
                t.setDaemon(true);
                t.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream());
            Request r = read(in);
            while (r != null) {
                requests.add(r);
                script.respond(r, new Connection(s, in, r));
                r = read(in);
            }
        } catch (IOException e) {
            closedByCaller.countDown();
        }
    }

    private static Request read(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String h = readLine(in); h != null && !h.isEmpty(); h = readLine(in)) {
            int colon = h.indexOf(':');
            headers.put(
                    h.substring(0, colon).toLowerCase(Locale.ROOT),
                    h.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Request(line, headers, new String(in.readNBytes(length), StandardCharsets.UTF_8));
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder out = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return out.toString().strip();
            }
            out.append((char) b);
        }
        return out.isEmpty() ? null : out.toString();
    }

    /** The connection of a request. */
    final class Connection {

        private final Socket socket;
        private final InputStream in;
        private final Request request;

        Connection(Socket socket, InputStream in, Request request) {
            this.socket = socket;
            this.in = in;
            this.request = request;
        }

        /** Returns the port of the client, which identifies the connection. */
        int port() {
            return socket.getPort();
        }

        /** Sends raw text; {@code ATTEMPT} is replaced by the attempt id of the request. */
        Connection send(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            String attempt = request.headers().getOrDefault("x-attempt", "none");
            out.write(text.replace("ATTEMPT", attempt).getBytes(StandardCharsets.UTF_8));
            out.flush();
            return this;
        }

        /** Sends one chunk of a chunked body. */
        Connection chunk(String text) throws IOException {
            return send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        /** Resets the connection. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Closes the connection. */
        void end() throws IOException {
            socket.close();
        }

        /** Waits until the client closes the connection. */
        void awaitClose() throws IOException {
            socket.setSoTimeout(10_000);
            if (in.read() < 0) {
                closedByCaller.countDown();
            }
            socket.close();
        }
    }
}
