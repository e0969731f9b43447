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
package org.hallwall.domain;

import java.util.concurrent.atomic.AtomicLong;

import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.engine.Announcement;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TargetDirectoryTest {

    private final AtomicLong now = new AtomicLong(10_000);
    private final TargetDirectory directory = new TargetDirectory(now::get);

    @Test
    void keepsLatestSequenceOfOneBoot() {
        assertTrue(directory.update(announcement("b1", 2), 0));
        assertFalse(directory.update(announcement("b1", 1), 0));
        assertEquals(1, directory.staleCount());
    }

    @Test
    void ordersAnnouncementsOfDifferentBootsByAge() {
        directory.update(announcement("b1", 9), 0);
        assertFalse(directory.update(announcement("b0", 50), 5_000), "an older boot relayed late");
        assertTrue(directory.update(announcement("b2", 1), 0));
    }

    /** Guards against treating announcements buffered during a process pause as fresh. */
    @Test
    void dropsAnnouncementsBufferedDuringPause() {
        directory.update(announcement("b1", 1), 0);
        now.addAndGet(8_000);
        assertFalse(directory.update(announcement("b1", 2), 0), "before the pause is detected");
        directory.detectPause();
        assertEquals(0, directory.list().size());
        assertFalse(directory.update(announcement("b1", 3), 0), "right after the pause");
        for (int i = 0; i < 6; i++) {
            now.addAndGet(100);
            directory.detectPause();
        }
        assertTrue(directory.update(announcement("b1", 4), 0));
        assertEquals(18_500, directory.receivingSince());
    }

    private static Announcement announcement(String boot, long sequence) {
        return new Announcement(
                new InstanceId("t"),
                boot,
                sequence,
                new FailureDomainId("d"),
                null,
                0,
                new NetAddress("127.0.0.1", 1),
                true,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                false);
    }
}
