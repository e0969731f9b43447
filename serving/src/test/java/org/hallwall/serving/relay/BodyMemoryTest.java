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

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

class BodyMemoryTest {

    private static final long MAX_BYTES = 300_000;

    private final BodyMemory memory = new BodyMemory(MAX_BYTES);

    @Test
    void largeBodiesLeaveAThirdToSmallOnes() {
        Assertions.assertTrue(memory.open().tryExtend(200_000));
        Assertions.assertFalse(memory.open().tryExtend(BodyMemory.SMALL_BODY_BYTES + 1));
        Assertions.assertTrue(memory.open().tryExtend(BodyMemory.SMALL_BODY_BYTES));
        Assertions.assertFalse(memory.open().tryExtend(BodyMemory.SMALL_BODY_BYTES));
        Assertions.assertEquals(200_000 + BodyMemory.SMALL_BODY_BYTES, memory.reservedBytes());
    }

    @Test
    void reservationGrowsUntilItIsReleased() {
        BodyMemory.Reservation r = memory.open();
        Assertions.assertTrue(r.tryExtend(1_000));
        Assertions.assertTrue(r.tryExtend(100_000));
        Assertions.assertEquals(100_000, memory.reservedBytes());
        Assertions.assertFalse(r.tryExtend(300_000));
        Assertions.assertEquals(100_000, memory.reservedBytes());
        r.release();
        r.release();
        Assertions.assertEquals(0, memory.reservedBytes());
        Assertions.assertFalse(r.tryExtend(1_000));
    }

    @Test
    void responsesMayUseMoreThanRequests() {
        BodyMemory.Reservation request = memory.open();
        Assertions.assertTrue(request.tryExtend(200_000));
        BodyMemory.Reservation response = request.openResponse();
        Assertions.assertFalse(response.tryExtend(50_001 + BodyMemory.SMALL_BODY_BYTES));
        BodyMemory.Reservation other = memory.open().openResponse();
        Assertions.assertTrue(other.tryExtend(BodyMemory.SMALL_BODY_BYTES));
        Assertions.assertFalse(memory.open().tryExtend(BodyMemory.SMALL_BODY_BYTES));
    }

    @Test
    void responseIsReleasedAloneOrWithItsRequest() {
        BodyMemory.Reservation request = memory.open();
        BodyMemory.Reservation failed = request.openResponse();
        BodyMemory.Reservation response = request.openResponse();
        Assertions.assertTrue(failed.tryExtend(1_000));
        Assertions.assertTrue(response.tryExtend(2_000));
        failed.release();
        Assertions.assertEquals(2_000, memory.reservedBytes());
        Assertions.assertTrue(response.tryResize(500));
        Assertions.assertEquals(500, memory.reservedBytes());
        request.release();
        Assertions.assertEquals(0, memory.reservedBytes());
        Assertions.assertFalse(response.tryExtend(1));
        Assertions.assertFalse(request.openResponse().tryExtend(1));
    }
}
