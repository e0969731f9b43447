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
package org.hallwall.serving.group;

import java.util.List;

import org.hallwall.core.id.InstanceId;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a partitioned controller that considers engines dead although entries reach them. */
class SuspectTrackerTest {

    private static final InstanceId PARTITIONED = new InstanceId("i-1");
    private static final InstanceId HEALTHY = new InstanceId("i-2");
    private static final List<InstanceId> MEMBERS = List.of(PARTITIONED, HEALTHY);

    private final SuspectTracker suspects = new SuspectTracker();

    @ParameterizedTest
    @CsvSource({"0, true", "1000, true", "1001, false"})
    void aSuspicionExpiresWithoutAFinding(long later, boolean suspected) {
        suspects.suspect(PARTITIONED, 5_000);
        Assertions.assertEquals(
                suspected ? List.of(PARTITIONED) : List.of(), suspects.suspectsAmong(MEMBERS, 5_000 + later));
    }

    /** Entries report the same stalled heads repeatedly while the controller is partitioned from their members. */
    @ParameterizedTest
    @CsvSource({"0, true", "3000, true", "3001, false"})
    void reachableEnginesAreNotProbedAgainButStaySuspected(long later, boolean known) {
        suspects.suspect(PARTITIONED, 5_000);
        suspects.markReachable(PARTITIONED, 5_000);
        Assertions.assertEquals(known, suspects.isReachedByEntries(PARTITIONED, 5_000 + later));
        Assertions.assertEquals(
                known ? List.of(PARTITIONED) : List.of(), suspects.suspectsAmong(MEMBERS, 5_000 + later));
    }

    @Test
    void unreachableEnginesAreNoLongerSuspected() {
        suspects.markReachable(PARTITIONED, 5_000);
        suspects.suspect(PARTITIONED, 5_100);
        suspects.markLost(PARTITIONED);
        Assertions.assertEquals(List.of(), suspects.suspectsAmong(MEMBERS, 5_100));
        Assertions.assertFalse(suspects.isReachedByEntries(PARTITIONED, 5_100));
    }
}
