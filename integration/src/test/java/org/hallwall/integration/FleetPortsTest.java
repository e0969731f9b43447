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
package org.hallwall.integration;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against port collisions within a test run and between concurrent runs. */
class FleetPortsTest {

    private static final int ALLOCATIONS = 400;

    /** Alternates allocations with ephemeral ports, as a fleet does for its processes and proxies. */
    @Test
    void allocatedPortIsNeverAssignedAsEphemeral() throws IOException {
        Set<Integer> allocated = new HashSet<>();
        List<ServerSocket> proxies = new ArrayList<>();
        try {
            for (int i = 0; i < ALLOCATIONS; i++) {
                allocated.add(FleetPorts.next());
                ServerSocket proxy = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                proxies.add(proxy);
                assertFalse(
                        allocated.contains(proxy.getLocalPort()),
                        "a proxy was assigned the allocated port " + proxy.getLocalPort());
            }
        } finally {
            for (ServerSocket p : proxies) {
                p.close();
            }
        }
        assertTrue(allocated.stream().allMatch(p -> p < FleetPorts.FIRST_EPHEMERAL));
    }

    @Test
    void portsOfConcurrentRunsAreDisjoint() {
        FleetPorts other = new FleetPorts();
        Set<Integer> allocated = new HashSet<>();
        for (int i = 0; i < ALLOCATIONS; i++) {
            allocated.add(FleetPorts.next());
        }
        for (int i = 0; i < ALLOCATIONS; i++) {
            assertFalse(allocated.contains(other.allocate()));
        }
    }
}
