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

import org.hallwall.core.id.InstanceId;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests that the sums contain the last report of each entry, without expired reports. */
class LoadSummaryTest {

    private long now = 1_000;
    private final LoadSummary summary = new LoadSummary(() -> now);

    private Map<String, Integer> report(String entry, Map<String, Integer> running) {
        return summary.update(new InstanceId(entry), running);
    }

    @Test
    void sumsTheLastReportOfEachEntry() {
        report("e1", Map.of("h1", 3, "h2", 1));
        report("e2", Map.of("h1", 4));
        Assertions.assertEquals(Map.of("h1", 5, "h3", 2), report("e1", Map.of("h1", 1, "h3", 2)));
    }

    @Test
    void dropsExpiredReports() {
        report("e1", Map.of("h1", 3));
        now += 2_000;
        Assertions.assertEquals(Map.of("h1", 4), report("e2", Map.of("h1", 4)));
    }
}
