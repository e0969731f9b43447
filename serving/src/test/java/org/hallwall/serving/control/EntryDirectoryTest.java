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

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.serving.target.FeedMessage.AvailableEntry;
import org.hallwall.serving.target.FeedMessage.EntryStatus;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An entry that has lost its links gets entries that have not, near ones first, and not always the same ones. */
class EntryDirectoryTest {

    private static final int MAX_ENTRIES = 8;

    private long now = 50_000;
    private final EntryDirectory directory = new EntryDirectory(new Random(1), () -> now);

    private List<AvailableEntry> report(int entry, String domain, boolean available, boolean wants) {
        return directory.update(
                new InstanceId("e-" + entry),
                new EntryStatus(domain, new NetAddress("10.0.0.1", 1_000 + entry), available, 0, wants));
    }

    @ParameterizedTest
    @ValueSource(ints = {9, 82, 350})
    void availableEntriesOfTheSameFailureDomainComeFirst(int entries) {
        for (int i = 1; i < entries; i++) {
            report(i, "d" + i % 3, i % 2 == 0, false);
        }
        List<AvailableEntry> got = report(0, "d0", false, true);
        int near = (int) java.util.stream.IntStream.range(1, entries)
                .filter(i -> i % 2 == 0 && i % 3 == 0)
                .count();
        Assertions.assertTrue(got.size() <= MAX_ENTRIES);
        for (int i = 0; i < got.size(); i++) {
            AvailableEntry e = got.get(i);
            Assertions.assertEquals(i < near, e.failureDomain().equals("d0"));
            Assertions.assertEquals(0, Integer.parseInt(e.instance().value().substring(2)) % 2);
        }
    }

    @Test
    void allAvailableEntriesGetAShare() {
        int entries = 82;
        Set<InstanceId> chosen = new HashSet<>();
        for (int i = 0; i < entries; i++) {
            report(i, "a", true, false);
        }
        for (int n = 0; n < entries; n++) {
            report(1_000, "a", false, true).forEach(e -> chosen.add(e.instance()));
        }
        Assertions.assertEquals(entries, chosen.size());
    }

    @Test
    void entriesThatNoLongerReportAreNotListed() {
        report(1, "a", true, false);
        Assertions.assertEquals(1, report(0, "a", false, true).size());
        now += 5_001;
        Assertions.assertEquals(List.of(), report(0, "a", false, true));
        Assertions.assertEquals(1, directory.count(false));
    }

    @Test
    void anEntryThatAsksForNothingGetsNothing() {
        report(1, "a", true, false);
        Assertions.assertEquals(List.of(), report(0, "a", true, false));
    }
}
