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

/** The sums hold what each entry reported last, and nothing of entries that have fallen silent. */
class LoadLedgerTest {

    private long now = 1_000;
    private final LoadLedger ledger = new LoadLedger(() -> now);

    private Map<String, Integer> take(String entry, Map<String, Integer> running) {
        return ledger.take(new InstanceId(entry), running);
    }

    @Test
    void sumsTheLastReportOfEachEntry() {
        take("e1", Map.of("h1", 3, "h2", 1));
        take("e2", Map.of("h1", 4));
        Assertions.assertEquals(Map.of("h1", 5, "h3", 2), take("e1", Map.of("h1", 1, "h3", 2)));
    }

    @Test
    void forgetsEntriesThatAreSilent() {
        take("e1", Map.of("h1", 3));
        now += 2_000;
        Assertions.assertEquals(Map.of("h1", 4), take("e2", Map.of("h1", 4)));
    }
}
