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
package org.hallwall.serving.target;

import org.hallwall.core.id.InstanceId;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Encoding of a target's name and start time in its id. */
class TargetIdsTest {

    @ParameterizedTest
    @CsvSource({"i-7f3a91c2, 0, i-7f3a91c2", "i-7f3a91c2, 35, i-7f3a91c2/z", "i.a:b-c, 1296, i.a:b-c/100"})
    void encodesNameAndStart(String name, long start, String text) {
        InstanceId id = TargetIds.id(name, start);
        Assertions.assertEquals(start, TargetIds.startMillis(id));
        Assertions.assertEquals(name, TargetIds.name(id));
        Assertions.assertEquals(text, id.value());
    }

    @Test
    void nameWithASlashIsRejected() {
        Assertions.assertThrows(IllegalArgumentException.class, () -> TargetIds.id("i-1/2", 0));
    }

    @Test
    void laterStartsReplaceEarlierOnes() {
        LatestStarts starts = new LatestStarts();
        InstanceId first = TargetIds.id("i-1", 1_000);
        InstanceId second = TargetIds.id("i-1", 2_000);
        Assertions.assertNull(starts.update(first));
        Assertions.assertNull(starts.update(first));
        Assertions.assertEquals(first, starts.update(second));
        Assertions.assertTrue(starts.isSuperseded(first));
        Assertions.assertFalse(starts.isSuperseded(second));
        starts.remove(first);
        Assertions.assertEquals(second, starts.get("i-1"));
    }
}
