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
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests whose field names are no tokens: their length could be read in two ways, so they must not reach a target. */
class InvalidRequestHeadTest {

    private static final int SOCKET_TIMEOUT_MILLIS = 10_000;

    private ScriptedTarget target;
    private RelayFixture entry;

    @BeforeEach
    void open() throws Exception {
        entry = new RelayFixture();
        target = new ScriptedTarget(
                (r, c) -> c.send("HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nContent-Length: 5\r\n\r\nhello"));
        entry.add("app", "i-app", target.port());
    }

    @AfterEach
    void close() {
        entry.close();
        target.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length : 5",
                "Content-Length\t: 5",
                "Content-Length x: 5",
                "Transfer-Encoding : chunked",
                "Transfer Encoding: chunked",
                "Content-Length: 5\r\nX Y: z",
                "Content-Length: 5\r\nX-Odd : z",
                "Content-Length: 5\r\nX\u0001Y: z",
                "Content-Length: 5\r\nContent-Length: 2",
                "Content-Length: 5\r\nTransfer-Encoding: chunked"
            })
    void requestIsRefusedWithoutReachingATarget(String fields) throws IOException {
        String request = "POST /non_idempotent/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt: attempt-1\r\nX-Model: m\r\n"
                + "X-Key: secret\r\n" + fields + "\r\n\r\nhello";
        try (Socket s = new Socket("127.0.0.1", entry.port())) {
            s.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
            s.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            byte[] status = s.getInputStream().readNBytes("HTTP/1.1 400".length());
            Assertions.assertEquals("HTTP/1.1 400", new String(status, StandardCharsets.ISO_8859_1));
        }
        Assertions.assertEquals(0, target.requests().size());
    }
}
