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

import java.util.ArrayList;
import java.util.List;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.target.FeedMessage.StalledHead;
import org.hallwall.serving.target.GroupLiveness;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** A stream leaves a silent head only if the group has lost a member or its liveness stays unknown. */
class StalledHeadsTest {

    private static final StalledHead HEAD = new StalledHead(new InstanceId("i-1"), "g1", 1);
    private static final long STALL_TIMEOUT_MILLIS = 100;

    private final List<Sinks.One<GroupLiveness>> responses = new ArrayList<>();
    private boolean controllerReachable = true;
    private long now = 10_000;
    private final StalledHeads heads = new StalledHeads(h -> query(), () -> controllerReachable, () -> now);

    private Mono<GroupLiveness> query() {
        Sinks.One<GroupLiveness> sink = Sinks.one();
        responses.add(sink);
        return sink.asMono();
    }

    private boolean isLikelyLost(long silentSince) {
        return heads.isLikelyLost(HEAD, silentSince, STALL_TIMEOUT_MILLIS);
    }

    @ParameterizedTest
    @CsvSource({
        // response, time after the query, whether the stream leaves
        "WORKING, 1, false",
        "WORKING, 300, false",
        "WORKING, 400, true",
        "LOST, 1, true",
        "UNKNOWN, 80, false",
        "UNKNOWN, 110, true"
    })
    void responseDecides(GroupLiveness response, long after, boolean leaves) {
        long silentSince = now - 101;
        Assertions.assertFalse(isLikelyLost(silentSince));
        responses.get(0).tryEmitValue(response);
        now += after;
        Assertions.assertEquals(leaves, isLikelyLost(silentSince));
        Assertions.assertEquals(1, responses.size());
    }

    @ParameterizedTest
    @CsvSource({
        // whether the controller is reachable, time after the query, whether the stream leaves
        "true, 30, false",
        "true, 80, true",
        "false, 80, false",
        "false, 110, true"
    })
    void missingResponseCountsOnlyIfTheControllerIsReachable(boolean reachable, long after, boolean leaves) {
        controllerReachable = reachable;
        long silentSince = now - 101;
        isLikelyLost(silentSince);
        now += after;
        Assertions.assertEquals(leaves, isLikelyLost(silentSince));
    }

    @Test
    void laterSilenceIsQueriedAgain() {
        isLikelyLost(now - 101);
        responses.get(0).tryEmitValue(GroupLiveness.WORKING);
        now += 2_000;
        Assertions.assertFalse(isLikelyLost(now - 101));
        responses.get(1).tryEmitValue(GroupLiveness.LOST);
        Assertions.assertTrue(isLikelyLost(now - 101));
    }

    /** Each query probes every member of the group. */
    @ParameterizedTest
    @CsvSource({"101, 1", "161, 2"})
    void recentlyBusyHeadIsQueriedLater(long silence, int queries) {
        isLikelyLost(now - 101);
        responses.get(0).tryEmitValue(GroupLiveness.WORKING);
        now += 400;
        isLikelyLost(now - silence);
        Assertions.assertEquals(queries, responses.size());
    }

    @Test
    void reportsOfAnUnreachableHeadAreRateLimited() {
        for (int i = 0; i < 10; i++) {
            heads.reportUnreachable(HEAD);
        }
        Assertions.assertEquals(1, responses.size());
        now += 400;
        heads.reportUnreachable(HEAD);
        Assertions.assertEquals(2, responses.size());
    }
}
