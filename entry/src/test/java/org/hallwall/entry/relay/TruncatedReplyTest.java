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

import java.time.Duration;
import java.util.List;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.hallwall.core.id.AttemptId;
import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.id.FencingToken;
import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.id.ModelGroupId;
import org.hallwall.core.id.ServiceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.domain.DomainTiming;
import org.hallwall.domain.TargetDirectory;
import org.hallwall.engine.Announcement;
import org.hallwall.engine.EngineClient;
import org.hallwall.engine.EngineRun;
import org.hallwall.engine.RunFrame;
import org.hallwall.engine.TargetLoad;
import org.hallwall.entry.EntrySettings;
import org.hallwall.entry.RawServer;
import org.hallwall.entry.exchange.ChatRequest;
import org.hallwall.entry.exchange.Exchange;
import org.hallwall.entry.exchange.RequestHeaders;
import org.hallwall.entry.exchange.RequestPriority;
import org.hallwall.entry.forward.RemoteRunClient;
import org.hallwall.entry.limit.RetryBudget;
import org.hallwall.program.InterimResponses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.netty.http.client.HttpClient;

/** Guards against a reply of a service, an engine or another entry that is cut off, or only an interim one, and counts as complete. */
class TruncatedReplyTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final ServiceId SERVICE = new ServiceId("app");
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
    private static final String WHOLE = HEAD + "Content-Length: 5\r\n\r\nhello";

    private RawServer server;

    @BeforeEach
    void open() throws Exception {
        server = new RawServer();
    }

    @AfterEach
    void close() {
        server.close();
    }

    private ServiceReply callService() {
        TargetDirectory directory = new TargetDirectory(Ticker.SYSTEM);
        directory.update(announcement(), 0);
        ServiceRunner runner = new ServiceRunner(
                directory,
                DomainTiming.DEFAULT,
                new RetryBudget(),
                new RelayMetrics(new PrometheusRegistry()),
                Ticker.SYSTEM);
        return runner.run(exchange(null), new ServiceCall(SERVICE, "GET", "/", null, new byte[0]))
                .block(TIMEOUT);
    }

    private Announcement announcement() {
        return new Announcement(
                new InstanceId("t"),
                "boot",
                1,
                new FailureDomainId("d"),
                null,
                0,
                server.address(),
                true,
                SERVICE,
                null,
                FencingToken.NONE,
                null,
                null,
                List.of(),
                null,
                TargetLoad.NONE,
                false);
    }

    private static Exchange exchange(ChatRequest chat) {
        RequestHeaders headers = new RequestHeaders(null, null, true, RequestPriority.NORMAL, 0, 0);
        return new Exchange(headers, chat, false, Ticker.SYSTEM.millis(), TIMEOUT.toMillis());
    }

    @ParameterizedTest
    @CsvSource({
        "'Content-Length: 5\r\n\r\nhello', false",
        "'Content-Length: 5\r\n\r\nhello', true",
        "'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n', false",
        "'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n', true"
    })
    void serviceReplyCutAtAnyByteIsAnError(String rest, boolean reset) {
        String whole = HEAD + rest.translateEscapes();
        for (int length = 0; length < whole.length(); length++) {
            server.respond(whole.substring(0, length), reset);
            RuntimeException e = Assertions.assertThrows(RuntimeException.class, this::callService, "cut at " + length);
            Assertions.assertInstanceOf(RefusalException.class, e.getCause(), "cut at " + length);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 102, 103})
    void serviceReplyFollowsInterimOnes(int status) {
        server.respond(interim(status).repeat(2) + WHOLE, false);
        ServiceReply reply = callService();
        Assertions.assertEquals(200, reply.status());
        Assertions.assertArrayEquals("hello".getBytes(), reply.body());
    }

    /** A blank in or behind a field name must not be read over, since the length of the reply may depend on it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length : 2",
                "Content-Length x: 2",
                "Content-Length\t: 2",
                "Transfer-Encoding : chunked",
                "Content-Length: 5\r\nX Y: z",
                "Content-Length: 5\r\nX-Odd : z"
            })
    void serviceReplyWithAnInvalidFieldNameIsAnError(String fields) {
        server.respond(HEAD + fields + "\r\n\r\nhello", false);
        RuntimeException e = Assertions.assertThrows(RuntimeException.class, this::callService);
        Assertions.assertInstanceOf(RefusalException.class, e.getCause());
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void interimReplyAloneIsAnError(boolean reset) {
        server.respond(interim(103), reset);
        Assertions.assertThrows(RuntimeException.class, this::callService);
    }

    private static String interim(int status) {
        return "HTTP/1.1 " + status + " Interim\r\nLink: </a>\r\n\r\n";
    }

    /** An interim response must not be taken for a refusal, which would let another group run the request as well. */
    @ParameterizedTest
    @ValueSource(ints = {102, 103})
    void framesOfAnEngineFollowInterimResponses(int status) {
        String frame = "{\"attempt\":\"a\",\"n\":0,\"end\":\"STOP\"}\n";
        server.respond(interim(status) + HEAD + "Content-Length: " + frame.length() + "\r\n\r\n" + frame, false);
        EngineClient engines = new EngineClient(InterimResponses.skip(HttpClient.create(EngineClient.createPool())));
        EngineRun run = new EngineRun(new AttemptId("a"), new GroupId("g"), FencingToken.NONE, null, "p", 1, 0);
        List<RunFrame> frames = engines.startRun(server.address(), run).blockFirst(TIMEOUT);
        Assertions.assertEquals(RunFrame.End.STOP, frames.get(0).end());
    }

    /** A response of another entry that is neither frames nor a refusal must not end the run as a complete one without frames. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 204 No Content\r\n\r\n",
                "HTTP/1.1 103 Early Hints\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            })
    void runElsewhereWithoutFramesIsAnError(String response) throws Exception {
        server.respond(response, false);
        RemoteRunClient client = new RemoteRunClient(List.of(new EntrySettings.OtherDomain(
                new FailureDomainId("e"), List.of(new EntrySettings.OtherEntry(server.address(), server.address())))));
        Exchange x = exchange(ChatRequest.parse("""
                {"model":"m","messages":[{"role":"user","content":"p"}]}""".getBytes()));
        x.setRoute(new ModelGroupId("m"), null);
        RefusalException local =
                new RefusalException(ProblemType.NO_COMPLETE_GROUP, Verdict.NOT_RUN, "none", Duration.ZERO);
        RuntimeException e = Assertions.assertThrows(
                RuntimeException.class, () -> client.run(x, local).blockLast(TIMEOUT));
        Assertions.assertEquals(Verdict.MAY_HAVE_RUN, ((RefusalException) e.getCause()).verdict());
    }
}
