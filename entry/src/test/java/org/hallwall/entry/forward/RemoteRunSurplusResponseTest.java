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
package org.hallwall.entry.forward;

import java.time.Duration;
import java.util.List;

import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.id.ModelGroupId;
import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.entry.EntrySettings;
import org.hallwall.entry.exchange.ChatRequest;
import org.hallwall.entry.exchange.Exchange;
import org.hallwall.entry.exchange.RequestHeaders;
import org.hallwall.entry.exchange.RequestPriority;
import org.hallwall.fakes.FakeStutteringServer;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import reactor.core.publisher.Mono;

/** Guards against frames or a refusal of an earlier run in another failure domain that are taken for those of the next run. */
class RemoteRunSurplusResponseTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final int SERIES = 12;
    private static final String REFUSAL =
            "{\"type\":\"no-complete-group\",\"status\":503,\"verdict\":\"NOT_RUN\",\"detail\":\"none\"}";

    private static boolean accepts(int run) {
        return run % 3 != 0;
    }

    private static String response(int run, boolean accepted) {
        return accepted
                ? FakeStutteringServer.response(
                        200, "application/x-ndjson", "{\"attempt\":\"a" + run + "\",\"n\":0,\"end\":\"STOP\"}\n")
                : FakeStutteringServer.response(503, "application/problem+json", REFUSAL);
    }

    private static Exchange exchange() throws Exception {
        ChatRequest chat = ChatRequest.parse("""
                {"model":"m","messages":[{"role":"user","content":"p"}]}""".getBytes());
        RequestHeaders headers = new RequestHeaders(null, null, true, RequestPriority.NORMAL, 0, 0);
        Exchange x = new Exchange(headers, chat, false, Ticker.SYSTEM.millis(), TIMEOUT.toMillis());
        x.setRoute(new ModelGroupId("m"), null);
        return x;
    }

    @ParameterizedTest
    @EnumSource(FakeStutteringServer.Timing.class)
    void eachRunGetsItsOwnFrames(FakeStutteringServer.Timing timing) throws Exception {
        RefusalException local =
                new RefusalException(ProblemType.NO_COMPLETE_GROUP, Verdict.NOT_RUN, "local", Duration.ZERO);
        try (FakeStutteringServer other = new FakeStutteringServer(
                timing, (run, line) -> response(run, accepts(run)), (run, line) -> response(run, !accepts(run)))) {
            RemoteRunClient client = new RemoteRunClient(List.of(new EntrySettings.OtherDomain(
                    new FailureDomainId("e"),
                    List.of(new EntrySettings.OtherEntry(other.address(), other.address())))));
            for (int i = 1; i <= SERIES; i++) {
                String outcome = client.run(exchange(), local)
                        .flatMapIterable(batch -> batch)
                        .map(f -> f.attempt().toString())
                        .onErrorResume(
                                RefusalException.class,
                                e -> Mono.just(e.verdict().name()))
                        .collectList()
                        .block(TIMEOUT)
                        .toString();
                Assertions.assertEquals(accepts(i) ? "[a" + i + "]" : "[NOT_RUN]", outcome, "run " + i);
                other.sendLateResponses();
            }
            Assertions.assertEquals(SERIES, other.requests());
        }
    }
}
