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
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

import org.hallwall.serving.config.RequestKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a stale response whose end is not recognised and that holds the next request until its deadline. */
class MalformedStaleResponseTest {

    private static final String ID = "X-Attempt: ATTEMPT\r\n";
    private static final String REST = "X-Stamp: s\r\nContent-Length: 5\r\n\r\nhello";
    private static final String WHOLE = "HTTP/1.1 200 OK\r\n" + ID + REST;

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final List<String> runs = new CopyOnWriteArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private RelayFixture entry;

    @BeforeEach
    void open() throws Exception {
        entry = new RelayFixture();
    }

    @AfterEach
    void close() {
        entry.close();
        targets.forEach(ScriptedTarget::close);
    }

    private void addTarget(ScriptedTarget.Script script) throws IOException {
        ScriptedTarget t = new ScriptedTarget(script);
        targets.add(t);
        entry.add("app", "i-app" + targets.size(), t.port());
        entry.add("llm", "i-llm" + targets.size(), t.port());
    }

    private HttpResponse<String> send(String method, RequestKind kind, String id) throws Exception {
        return client.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.port() + "/"
                                + kind.name().toLowerCase(Locale.ROOT) + "/x"))
                        .header("X-Attempt", id)
                        .header("X-Model", "m")
                        .header("X-Key", "secret")
                        .timeout(Duration.ofSeconds(10))
                        .method(method, HttpRequest.BodyPublishers.ofString("body"))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** A stale response whose chunks are broken, before the response that is due. */
    @Test
    void brokenStaleResponseDoesNotHoldTheRequestUntilItsDeadline() throws Exception {
        ThreadLocal<String> pending = ThreadLocal.withInitial(() -> "");
        addTarget((r, c) -> {
            String id = r.headers().get("x-attempt");
            c.send(pending.get() + WHOLE);
            pending.set("HTTP/1.1 200 OK\r\nX-Attempt: " + id
                    + "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n");
        });
        send("POST", RequestKind.NON_IDEMPOTENT, "attempt-0");
        HttpResponse<String> next = send("POST", RequestKind.NON_IDEMPOTENT, "attempt-1");
        Assertions.assertNotEquals(504, next.statusCode(), next.body());
    }

    /** A surplus response to HEAD has a length and no body. */
    @Test
    void surplusResponseToHeadIsDiscardedWithoutBody() throws Exception {
        ThreadLocal<String> pending = ThreadLocal.withInitial(() -> "");
        addTarget((r, c) -> {
            String id = r.headers().get("x-attempt");
            boolean head = r.line().startsWith("HEAD");
            c.send(pending.get() + (head ? WHOLE.replace("hello", "") : WHOLE));
            pending.set(head ? "HTTP/1.1 200 OK\r\nX-Attempt: " + id + "\r\nContent-Length: 4000\r\n\r\n" : "");
        });
        Assertions.assertEquals(
                200, send("HEAD", RequestKind.IDEMPOTENT, "attempt-0").statusCode());
        HttpResponse<String> next = send("POST", RequestKind.IDEMPOTENT, "attempt-1");
        Assertions.assertEquals(200, next.statusCode(), next.body());
        Assertions.assertEquals("hello", next.body());
    }

    /** A surplus response that ends with its connection cannot be read to its end. */
    @Test
    void staleResponseWithoutLengthDoesNotHoldTheRequestUntilItsDeadline() throws Exception {
        ThreadLocal<String> pending = ThreadLocal.withInitial(() -> "");
        addTarget((r, c) -> {
            c.send(pending.get() + WHOLE);
            pending.set("HTTP/1.1 200 OK\r\nX-Attempt: " + r.headers().get("x-attempt") + "\r\n\r\nhello");
        });
        send("POST", RequestKind.NON_IDEMPOTENT, "attempt-0");
        HttpResponse<String> next = send("POST", RequestKind.NON_IDEMPOTENT, "attempt-1");
        Assertions.assertNotEquals(504, next.statusCode(), next.body());
    }
}
