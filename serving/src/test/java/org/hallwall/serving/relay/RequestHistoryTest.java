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

import java.util.List;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.serving.crash.ResponseProgress;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against runs that are lost from the count when a request passes between entries, also those of another version. */
class RequestHistoryTest {

    private static final InstanceId FIRST = new InstanceId("i-1/a");
    private static final InstanceId SECOND = new InstanceId("i-2");
    private static final InstanceId THIRD = new InstanceId("i-3");
    private static final InstanceId ENTRY = new InstanceId("e-1");

    private static final RequestHistory HISTORY = RequestHistory.EMPTY
            .with(THIRD, RequestHistory.Outcome.REJECTED)
            .with(FIRST, RequestHistory.Outcome.STARTED)
            .withUnknownRun()
            .with(SECOND, RequestHistory.Outcome.DISCONNECTED_AT_START);

    private static ForwardHeaders.Forwarded forwarded(RequestHistory history) {
        return new ForwardHeaders.Forwarded(ENTRY, "app", 1, false, history, 7);
    }

    private static EntryHop hop(RequestHistory reported) {
        NetAddress address = new NetAddress("127.0.0.1", 1);
        EntryHop hop = new EntryHop(new ServingTarget(ENTRY, 0, address, "a", 0, null, null, 1), null, null);
        hop.recordReport(reported);
        return hop;
    }

    @Test
    void countsAllRunsAndKnowsTheirTargets() {
        Assertions.assertEquals(3, HISTORY.runs());
        Assertions.assertEquals(1, HISTORY.rejections());
        Assertions.assertEquals(Set.of(FIRST, SECOND, THIRD), HISTORY.targets());
        Assertions.assertEquals(Set.of(FIRST), HISTORY.startedAt());
        Assertions.assertEquals(Set.of(SECOND), HISTORY.disconnectedBy());
        Assertions.assertEquals(Set.of(SECOND), HISTORY.disconnectedAtStartBy());
        Assertions.assertEquals(
                Set.of(),
                HISTORY.with(FIRST, RequestHistory.Outcome.DISCONNECTED).startedAt());
    }

    @Test
    void isTheSameAfterAHop() throws Exception {
        HttpHeaders headers = new DefaultHttpHeaders();
        ForwardHeaders.write(headers, forwarded(HISTORY), 2);
        Assertions.assertEquals(HISTORY, ForwardHeaders.read(headers).history());
        HttpHeaders response = new DefaultHttpHeaders();
        ForwardHeaders.writeHistory(response, HISTORY);
        Assertions.assertEquals(HISTORY, ForwardHeaders.readHistory(response));
    }

    /** An entry of an earlier version counts by itself, so it is told that all runs but one have been made. */
    @ParameterizedTest
    @CsvSource({"1, 0", "2, 1", "3, 2"})
    void earlierVersionIsAllowedOneRun(int maxAttempts, String runs) {
        HttpHeaders headers = new DefaultHttpHeaders();
        ForwardHeaders.write(headers, forwarded(RequestHistory.EMPTY), maxAttempts);
        Assertions.assertEquals(runs, headers.get("Hallwall-Forward-Run-Count"));
    }

    @Test
    void earlierVersionSendsTheNumberOfRunsOnly() throws Exception {
        HttpHeaders headers = new DefaultHttpHeaders();
        ForwardHeaders.write(headers, forwarded(RequestHistory.EMPTY), 3);
        headers.remove("Hallwall-Forward-History");
        Assertions.assertEquals(
                new RequestHistory(List.of(), 2), ForwardHeaders.read(headers).history());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "x", "-1", "0;", "0;RAN", "0;RAN i-1 i-2", "0;UNKNOWN i-1", "0;RAN ;"})
    void malformedHistoryOfAResponseIsNone(String text) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Hallwall-Forward-History", text);
        RequestHistory read = ForwardHeaders.readHistory(headers);
        Assertions.assertTrue(read == null || read.isEmpty(), () -> "read " + read);
    }

    @ParameterizedTest
    @CsvSource({"MAY_HAVE_RUN, 1", "RAN, 1", "NOT_RUN, 0"})
    void hopWithoutReportCountsAsRunUnlessItHasNotRun(Verdict verdict, int runs) {
        RequestHistory after = hop(null)
                .historyAfter(RequestHistory.EMPTY, new AttemptFailure(verdict, "no response"), ResponseProgress.NONE);
        Assertions.assertEquals(runs, after.runs());
    }

    /** A report that names fewer runs than the verdict implies does not reduce the count. */
    @Test
    void verdictGoesBeforeAReportOfFewerRuns() {
        RequestHistory before = RequestHistory.EMPTY.with(FIRST, RequestHistory.Outcome.RAN);
        AttemptFailure failure = new AttemptFailure(Verdict.MAY_HAVE_RUN, "closed");
        Assertions.assertEquals(
                2,
                hop(before).historyAfter(before, failure, ResponseProgress.NONE).runs());
        Assertions.assertEquals(
                2,
                hop(RequestHistory.EMPTY)
                        .historyAfter(before, failure, ResponseProgress.NONE)
                        .runs());
    }
}
