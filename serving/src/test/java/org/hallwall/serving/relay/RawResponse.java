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

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

import org.hallwall.serving.config.RequestKind;

/** A response as a caller without an HTTP library reads it, up to the end of the connection. */
record RawResponse(String head, String body, boolean reset) {

    private static final int SOCKET_TIMEOUT_MILLIS = 10_000;

    /** Sends a request without a body on a connection of its own. */
    static RawResponse request(int port, String version, RequestKind kind) throws IOException {
        return request(port, version, kind, "");
    }

    /** Sends a request without a body and with more header fields, each ended by CR LF. */
    static RawResponse request(int port, String version, RequestKind kind, String fields) throws IOException {
        try (Socket s = new Socket("127.0.0.1", port)) {
            s.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            write(s, version, kind, fields);
            StringBuilder out = new StringBuilder();
            boolean reset = false;
            try {
                for (int b = s.getInputStream().read();
                        b >= 0;
                        b = s.getInputStream().read()) {
                    out.append((char) b);
                }
            } catch (SocketException e) {
                reset = true;
            }
            int end = out.indexOf("\r\n\r\n");
            return new RawResponse(out.substring(0, end + 2), out.substring(end + 4), reset);
        }
    }

    /** Writes a request without a body. */
    static void write(Socket to, String version, RequestKind kind) throws IOException {
        write(to, version, kind, "");
    }

    private static void write(Socket to, String version, RequestKind kind, String fields) throws IOException {
        String text = "POST /" + kind.name().toLowerCase(Locale.ROOT) + "/x " + version + "\r\nHost: 127.0.0.1\r\n"
                + "X-Attempt: attempt-1\r\nX-Model: m\r\nX-Key: secret\r\nContent-Length: 0\r\n" + fields
                + "Connection: close\r\n\r\n";
        to.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    int status() {
        return Integer.parseInt(head.split(" ")[1]);
    }

    boolean isChunked() {
        return head.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked");
    }

    /** Returns whether the caller can tell that the body is complete. */
    boolean isComplete() {
        if (isChunked()) {
            return body.endsWith("0\r\n\r\n");
        }
        int length = head.toLowerCase(Locale.ROOT).indexOf("content-length: ");
        return length < 0
                ? !reset
                : body.length() == Integer.parseInt(head.substring(length + 16).split("\r")[0]);
    }

    String content() {
        return isChunked() ? body.replaceAll("(?m)^[0-9a-f]+\r\n", "").replace("\r\n", "") : body;
    }
}
