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
import java.util.stream.Stream;

import org.hallwall.serving.config.RequestKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against heads that are no response in HTTP, or that name two requests: they are not passed on, and their connection is not used again. */
class InvalidResponseHeadTest {

    private static final String ID = "X-Attempt: ATTEMPT\r\n";
    private static final String REST = "X-Stamp: s\r\nContent-Length: 5\r\n\r\nhello";
    private static final String WHOLE = "HTTP/1.1 200 OK\r\n" + ID + REST;

    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final List<Integer> connections = new ArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private RelayFixture entry;

    /** A head that is no response to a request. */
    private enum Invalid {
        STATUS_ZERO("HTTP/1.1 000 None\r\n" + ID + REST),
        STATUS_BELOW_100("HTTP/1.1 099 None\r\n" + ID + REST),
        SWITCHING_PROTOCOLS(
                "HTTP/1.1 101 Switching Protocols\r\n" + ID + "Upgrade: other\r\nConnection: Upgrade\r\n\r\n"),
        TWO_IDS("HTTP/1.1 200 OK\r\n" + ID + "X-Attempt: other\r\n" + REST),
        TWO_IDS_OTHER_FIRST("HTTP/1.1 200 OK\r\nX-Attempt: other\r\n" + ID + REST),
        HEAD_WITHIN_HEAD("HTTP/1.1 500 Failed\r\nX-Attempt: other\r\nX-Stamp: t\r\nHTTP/1.1 200 OK\r\n" + ID + REST),
        NO_ID("HTTP/1.1 200 OK\r\n" + REST),
        BLANK_IN_NAME(withField("X Y: z")),
        BLANK_BEHIND_NAME(withField("X-Odd : z")),
        TAB_IN_NAME(withField("X\tY: z")),
        TAB_BEHIND_NAME(withField("X-Odd\t: z")),
        CONTROL_BYTE_IN_NAME(withField("X\u0001Y: z")),
        BLANK_BEHIND_LENGTH("HTTP/1.1 200 OK\r\n" + ID + "Content-Length : 2\r\n\r\nhello"),
        WORD_BEHIND_LENGTH("HTTP/1.1 200 OK\r\n" + ID + "Content-Length x: 2\r\n\r\nhello"),
        BLANK_BEHIND_ENCODING("HTTP/1.1 200 OK\r\n" + ID + "Transfer-Encoding : chunked\r\n\r\n2\r\nhe\r\n0\r\n\r\n"),
        BLANK_IN_ENCODING("HTTP/1.1 200 OK\r\n" + ID + "Transfer Encoding: chunked\r\n\r\n2\r\nhe\r\n0\r\n\r\n"),
        BLANK_IN_NAME_BEHIND_INTERIM_HEAD("HTTP/1.1 103 Early Hints\r\n" + ID + "\r\n" + withField("X-Odd : z")),
        OTHER_REQUESTS_ONLY(WHOLE.replace("ATTEMPT", "other").repeat(20));

        private final String text;

        private static String withField(String field) {
            return "HTTP/1.1 200 OK\r\n" + ID + field + "\r\n" + REST;
        }

        Invalid(String text) {
            this.text = text;
        }
    }

    @BeforeEach
    void open() throws Exception {
        entry = new RelayFixture();
    }

    @AfterEach
    void close() {
        entry.close();
        targets.forEach(ScriptedTarget::close);
    }

    private void addTarget(Invalid first) throws IOException {
        ScriptedTarget t = new ScriptedTarget((r, c) -> {
            connections.add(c.port());
            c.send(r.headers().get("x-attempt").equals("attempt-1") ? first.text : WHOLE);
        });
        targets.add(t);
        entry.add("app", "i-app", t.port());
        entry.add("llm", "i-llm", t.port());
    }

    private HttpResponse<String> send(RequestKind kind, String id) throws Exception {
        String route = kind.name().toLowerCase(Locale.ROOT);
        return client.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.port() + "/" + route + "/x"))
                        .header("X-Attempt", id)
                        .header("X-Model", "m")
                        .header("X-Key", "secret")
                        .timeout(Duration.ofSeconds(10))
                        .POST(HttpRequest.BodyPublishers.ofString("body"))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private static Stream<Arguments> cases() {
        return Stream.of(Invalid.values())
                .flatMap(i -> Stream.of(RequestKind.values()).map(k -> Arguments.of(i, k)));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void invalidHeadIsRefusedAndItsConnectionNotUsedAgain(Invalid invalid, RequestKind kind) throws Exception {
        addTarget(invalid);
        HttpResponse<String> refused = send(kind, "attempt-1");
        Assertions.assertEquals(502, refused.statusCode(), refused::body);
        Assertions.assertTrue(
                refused.headers().firstValue("X-Stamp").isEmpty(), "a refusal carries no stamp of a target");
        HttpResponse<String> answered = send(kind, "attempt-2");
        Assertions.assertEquals(200, answered.statusCode(), answered::body);
        Assertions.assertEquals("hello", answered.body());
        Assertions.assertEquals(2, connections.size());
        Assertions.assertNotEquals(connections.get(0), connections.get(1), "both requests were sent on one connection");
    }
}
