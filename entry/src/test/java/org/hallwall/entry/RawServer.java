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
package org.hallwall.entry;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

import org.hallwall.core.settings.NetAddress;

/** A server that answers each request with raw bytes and ends the connection. */
public final class RawServer implements Closeable {

    private static final int BACKLOG = 100;

    private final ServerSocket server;
    private final AtomicInteger requests = new AtomicInteger();
    private volatile String response = "";
    private volatile boolean resetting;

    /** Starts the server on a free port. */
    public RawServer() throws IOException {
        server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        Thread t = new Thread(this::accept, "raw-server");
        t.setDaemon(true);
        t.start();
    }

    /** Returns the address. */
    public NetAddress address() {
        return new NetAddress("127.0.0.1", server.getLocalPort());
    }

    /**
     * Sets what each request is answered with.
     *
     * @param text the bytes of the response
     * @param reset whether the connection is reset afterwards, instead of closed
     */
    public void respond(String text, boolean reset) {
        response = text;
        resetting = reset;
    }

    /** Returns the number of requests received. */
    public int requests() {
        return requests.get();
    }

    private void accept() {
        while (!server.isClosed()) {
            try (Socket s = server.accept()) {
                readRequest(s);
                requests.incrementAndGet();
                s.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
                if (resetting) {
                    // a linger time of zero resets the connection
                    s.setSoLinger(true, 0);
                }
            } catch (IOException e) {
                // closed by the client or by the test
            }
        }
    }

    /** Reads the head, and a body with a length or in chunks. */
    private static void readRequest(Socket s) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.ISO_8859_1));
        int length = 0;
        boolean chunked = false;
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            String lower = line.toLowerCase(java.util.Locale.ROOT);
            length = lower.startsWith("content-length:")
                    ? Integer.parseInt(lower.substring(lower.indexOf(':') + 1).strip())
                    : length;
            chunked |= lower.startsWith("transfer-encoding:") && lower.contains("chunked");
        }
        for (int i = 0; i < length; i++) {
            in.read();
        }
        for (String line = chunked ? in.readLine() : null; line != null && !line.equals("0"); line = in.readLine()) {
            // chunks of one line each
        }
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
