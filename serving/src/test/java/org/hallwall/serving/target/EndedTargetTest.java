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

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against retries that count for the budget although their target has ended, and against targets that are merely silent. */
class EndedTargetTest {

    private static final int PORT = 7_000;

    private final AtomicLong now = new AtomicLong();
    private final TargetDirectory directory = new TargetDirectory(now::get);

    private void announce(InstanceId instance, int port, TargetRecord.Presence presence) {
        now.incrementAndGet();
        NetAddress address = new NetAddress("127.0.0.1", port);
        directory.applyRecord(
                new TargetRecord(instance, now.get(), "app", address, "a", 4, presence, null, null, List.of(), null));
    }

    @ParameterizedTest
    @CsvSource({
        "other, 1, 7001, SERVING, false",
        "other, 1, 7000, SERVING, true",
        "t, 2, 7001, SERVING, true",
        "t, 1, 7000, GONE, true",
        "t, 1, 7000, LEAVING, false"
    })
    void targetHasEndedIfAnotherStartOrAnotherTargetReplacesIt(
            String name, long start, int port, TargetRecord.Presence presence, boolean ended) {
        InstanceId target = TargetIds.id("t", 1);
        announce(target, PORT, TargetRecord.Presence.SERVING);
        now.addAndGet(60_000);
        Assertions.assertFalse(directory.hasEnded(target));
        announce(TargetIds.id(name, start), port, presence);
        Assertions.assertEquals(ended, directory.hasEnded(target));
    }
}
