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
package org.hallwall.serving.control;

import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.relay.RetryBudget;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Guards against retries to stopped targets that a restarted entry has forgotten. */
class OpenRetryReportsTest {

    private static final InstanceId ENTRY = new InstanceId("entry");

    private final AtomicLong now = new AtomicLong(1_000);
    private final OpenRetryReports reports = new OpenRetryReports(now::get);

    @Test
    void restartedEntryInheritsWhatItsEarlierProcessReportedLast() {
        reports.record(ENTRY, "p1", Map.of("s", 9));
        reports.record(ENTRY, "p1", Map.of("s", 5));
        Assertions.assertNull(reports.inheritedBy(ENTRY));
        reports.record(ENTRY, "p2", Map.of());
        Assertions.assertEquals(Map.of("s", 5), reports.inheritedBy(ENTRY));
        reports.record(ENTRY, "p2", Map.of("s", 7));
        Assertions.assertEquals(Map.of("s", 5), reports.inheritedBy(ENTRY));
    }

    @Test
    void processThatEndsBeforeItReportsPassesItsInheritanceOn() {
        reports.record(ENTRY, "p1", Map.of("s", 5));
        reports.record(ENTRY, "p2", Map.of("t", 1));
        reports.record(ENTRY, "p3", Map.of());
        Assertions.assertEquals(Map.of("s", 5, "t", 1), reports.inheritedBy(ENTRY));
    }

    @Test
    void nothingIsInheritedAtTheFirstStart() {
        reports.recordFirstStart();
        reports.record(ENTRY, "p1", Map.of());
        Assertions.assertEquals(Map.of(), reports.inheritedBy(ENTRY));
    }

    @Test
    void newEntryInheritsNothingSomeTimeAfterTheStart() {
        reports.record(ENTRY, "p1", Map.of());
        Assertions.assertNull(reports.inheritedBy(ENTRY));
        now.addAndGet(RetryBudget.UNKNOWN_PROCESS_MILLIS);
        Assertions.assertEquals(Map.of(), reports.inheritedBy(ENTRY));
    }

    /** Guards against retries that are forgotten while their targets are stopped for long. */
    @Test
    void reportOfAnEndedProcessIsKeptAsLongAsItsRetriesMayArrive() {
        reports.record(ENTRY, "p1", Map.of("s", 5));
        now.addAndGet(RetryBudget.MAX_ARRIVAL_DELAY_MILLIS);
        reports.record(ENTRY, "p2", Map.of());
        Assertions.assertEquals(Map.of("s", 5), reports.inheritedBy(ENTRY));
    }
}
