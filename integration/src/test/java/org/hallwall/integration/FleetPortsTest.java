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

/** A port given to a process of a fleet stays free until that process binds it. */
class FleetPortsTest {

    private static final int DRAWS = 400;

    /** A fleet draws ports for its processes and opens proxies in turn, as here. */
    @Test
    void systemNeverGivesADrawnPortToSomeoneElse() throws IOException {
        Set<Integer> drawn = new HashSet<>();
        List<ServerSocket> proxies = new ArrayList<>();
        try {
            for (int i = 0; i < DRAWS; i++) {
                drawn.add(FleetPorts.next());
                ServerSocket proxy = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                proxies.add(proxy);
                assertFalse(drawn.contains(proxy.getLocalPort()), "a proxy got the drawn port " + proxy.getLocalPort());
            }
        } finally {
            for (ServerSocket p : proxies) {
                p.close();
            }
        }
        assertTrue(drawn.stream().allMatch(p -> p < FleetPorts.FIRST_EPHEMERAL));
    }

    @Test
    void twoRunsShareNoPort() {
        FleetPorts other = new FleetPorts();
        Set<Integer> drawn = new HashSet<>();
        for (int i = 0; i < DRAWS; i++) {
            drawn.add(FleetPorts.next());
        }
        for (int i = 0; i < DRAWS; i++) {
            assertFalse(drawn.contains(other.draw()));
        }
    }
}
