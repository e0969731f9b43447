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
package org.hallwall.entry.relay;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

import org.hallwall.core.id.AttemptId;
import org.hallwall.core.id.FencingToken;
import org.hallwall.core.id.GroupId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.engine.EngineClient;
import org.hallwall.engine.EngineException;
import org.hallwall.engine.EngineRun;
import org.hallwall.program.InterimResponses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Guards against refusals of engines that never end: a bounded part is read, and the connection is closed. */
class EndlessRefusalTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final byte[] PART = new byte[65_536];
    /** Where an engine that is still read gives up, in bytes. */
    private static final long ENDLESS_BYTES = 64L * 1024 * 1024;
    /** More than a refusal, and what fits into the buffers of a connection, in bytes. */
    private static final long MAX_READ_BYTES = 16L * 1024 * 1024;

    private final AtomicLong sentBytes = new AtomicLong();
    private final EngineClient engines =
            new EngineClient(InterimResponses.skip(HttpClient.create(EngineClient.createPool())));
    private ServerSocket server;

    @BeforeEach
    void open() throws IOException {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        server.close();
    }

    private void respond(int status) {
        try (Socket s = server.accept()) {
            InputStream in = s.getInputStream();
            in.read(new byte[4_096]);
            OutputStream out = s.getOutputStream();
            out.write(("HTTP/1.1 " + status + " Failed\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            while (sentBytes.get() < ENDLESS_BYTES) {
                out.write(PART);
                sentBytes.addAndGet(PART.length);
            }
        } catch (IOException e) {
            // the client has closed the connection
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {404, 409, 500, 503})
    void refusalIsReadInPart(int status) throws Exception {
        Thread engine = new Thread(() -> respond(status), "endless-engine");
        engine.setDaemon(true);
        engine.start();
        EngineRun run = new EngineRun(new AttemptId("a1"), new GroupId("g"), FencingToken.NONE, null, "p", 1, 0);
        EngineException failure = engines.startRun(new NetAddress("127.0.0.1", server.getLocalPort()), run)
                .then(Mono.<EngineException>empty())
                .onErrorResume(EngineException.class, Mono::just)
                .block(TIMEOUT);
        engine.join(TIMEOUT.toMillis());
        Assertions.assertTrue(sentBytes.get() < MAX_READ_BYTES, () -> sentBytes.get() + " bytes were read");
        Assertions.assertEquals(Verdict.MAY_HAVE_RUN, failure.verdict(), failure::getMessage);
    }
}
