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

import java.util.List;
import java.util.Map;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.serving.decision.Mechanisms;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The entries together admit no more streams than there are slots, and new streams before retried ones. */
class AdmissionControlTest {

    private static final ServingTarget FAST = target("near", 1);
    private static final ServingTarget SLOW = target("far", 2);

    private long now = 1_000;
    private final FleetLoad fleet = new FleetLoad(() -> now);
    private final Balancer balancer = new Balancer("a", fleet, Mechanisms.ALL, () -> 0, () -> now);
    private final AdmissionControl admission = new AdmissionControl(balancer, fleet, Mechanisms.ALL, () -> now);

    private static ServingTarget target(String id, double slowness) {
        return new ServingTarget(new InstanceId(id), 1, new NetAddress("127.0.0.1", 1), "a", 20, "m", null, slowness);
    }

    private static RelayRequest request(boolean likelyRetry) {
        return new RelayRequest(
                "a",
                HttpMethod.POST,
                "/",
                new DefaultHttpHeaders(),
                new byte[0],
                null,
                "s",
                "m",
                1,
                likelyRetry,
                null,
                0,
                1_000,
                null);
    }

    @ParameterizedTest
    @CsvSource({
        // a slower group has proportionally less capacity
        "27, false, true",
        "29, false, false",
        "25, true, true",
        "26, true, false"
    })
    void capacityIsSharedByAllGroups(int outstanding, boolean likelyRetry, boolean admitted) {
        fleet.update(Map.of(), Map.of("near", outstanding - 10, "far", 10));
        Assertions.assertEquals(admitted, admission.tryAdmit(request(likelyRetry), List.of(FAST, SLOW), false) != null);
    }

    @Test
    void refusalDescribesTheLoad() {
        fleet.update(Map.of(), Map.of("near", 20, "far", 10));
        now += 120;
        Assertions.assertEquals(
                "all groups are full, 30 outstanding in 30 slots of 2 groups 120 ms ago, retried request",
                admission.describe(request(true), List.of(FAST, SLOW)));
    }

    @Test
    void ownWindowDecidesWithoutFleetLoad() {
        admission.setEntryCount(10);
        for (int i = 0; i < 8; i++) {
            Assertions.assertNotNull(admission.tryAdmit(request(false), List.of(FAST), false));
        }
        Assertions.assertNull(admission.tryAdmit(request(false), List.of(FAST), false));
    }

    @Test
    void demandIsCountedByModel() {
        fleet.update(Map.of(), Map.of());
        AdmissionWindow w = admission.tryAdmit(request(false), List.of(FAST), false);
        Assertions.assertEquals(Map.of("m", 1), admission.streamDemand());
        admission.release(w, request(false));
        Assertions.assertEquals(Map.of("m", 0), admission.streamDemand());
    }

    /** All 30 slots of a model are in use, and another 20 streams per second of one second each are refused. */
    @Test
    void refusedStreamsCountAsDemand() {
        fleet.update(Map.of(), Map.of("near", 20, "far", 10));
        for (int i = 0; i < 40; i++) {
            now += 50;
            fleet.update(Map.of(), Map.of("near", 20, "far", 10));
            admission.tryAdmit(request(false), List.of(FAST, SLOW), false);
            // a retried stream was already counted when it was refused first
            admission.tryAdmit(request(true), List.of(FAST, SLOW), false);
        }
        Assertions.assertEquals(Map.of("m", 20), admission.streamDemand());
        now += 2_100;
        Assertions.assertEquals(Map.of("m", 0), admission.streamDemand());
    }
}
