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
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import org.hallwall.serving.config.RequestKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against the record of the ids on a connection that grows without a bound or confuses requests. */
class ConnectionReuseTest {

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

    @Test
    void connectionsWithManyRequestsAreReplaced() throws Exception {
        Map<Integer, Integer> ports = new ConcurrentHashMap<>();
        addTarget((r, c) -> {
            ports.merge(c.port(), 1, Integer::sum);
            c.send(WHOLE);
        });
        for (int i = 0; i < 1_100; i++) {
            Assertions.assertEquals(
                    200,
                    send("POST", RequestKind.NON_IDEMPOTENT, "attempt-" + i).statusCode());
        }
        Assertions.assertTrue(ports.size() >= 2 && ports.size() <= 4, ports.toString());
    }

    @Test
    void idsOfOneHashCodeAreToldApart() throws Exception {
        addTarget((r, c) -> {
            runs.add(r.headers().get("x-attempt"));
            c.send(WHOLE);
        });
        for (String id : List.of("Aa", "BB", "Aa", "BB")) {
            HttpResponse<String> a = send("POST", RequestKind.NON_IDEMPOTENT, id);
            Assertions.assertEquals(200, a.statusCode());
            Assertions.assertEquals(id, a.headers().firstValue("X-Attempt").orElse(null));
        }
        Assertions.assertEquals(List.of("Aa", "BB", "Aa", "BB"), runs);
    }
}
