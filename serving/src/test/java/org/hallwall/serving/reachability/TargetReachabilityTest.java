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
package org.hallwall.serving.reachability;

import java.util.Map;

import org.hallwall.core.id.InstanceId;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A target counts as unreachable from its first failed connection until a later request or connection reaches it. */
class TargetReachabilityTest {

    private static final InstanceId TARGET = new InstanceId("i-1");
    private static final InstanceId OTHER = new InstanceId("i-2");

    private long now = 10_000;
    private final TargetReachability reachability = new TargetReachability(() -> now);

    @ParameterizedTest
    @CsvSource({
        // start of the request that is answered, whether its target stays unreachable
        "9999, true",
        "10000, true",
        "10001, false"
    })
    void onlyLaterRequestsShowThatATargetIsReachable(long startedAt, boolean unreachable) {
        reachability.recordConnectFailure(TARGET, "refused");
        now += 500;
        reachability.recordContact(TARGET, startedAt);
        Assertions.assertEquals(unreachable, reachability.isUnreachable(TARGET));
        Assertions.assertFalse(reachability.isUnreachable(OTHER));
    }

    @Test
    void theFirstFailureDatesTheLoss() {
        reachability.recordConnectFailure(TARGET, "refused");
        now += 700;
        reachability.recordConnectFailure(TARGET, "refused");
        now += 300;
        Assertions.assertEquals(Map.of("i-1", 1_000L), reachability.describe());
        Assertions.assertEquals(1, reachability.unreachableCount());
    }

    @ParameterizedTest
    @CsvSource({"30000, true", "30001, false"})
    void aTargetThatIsNoLongerTriedIsForgotten(long elapsedMillis, boolean unreachable) {
        reachability.recordConnectFailure(TARGET, "refused");
        now += elapsedMillis;
        Assertions.assertEquals(unreachable, reachability.isUnreachable(TARGET));
    }
}
