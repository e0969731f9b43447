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

/**
 * Gives loopback ports that nothing else takes between the draw and the bind.
 *
 * <p>Ports that the system draws itself (port 0, outgoing connections) lie above {@link #FIRST_EPHEMERAL}, so none is given
 * from there: a proxy of the same fleet could get it while the process that it was meant for is still starting. Each test run
 * holds a block of ports by listening on the block's first one, so that two runs share none.
 */
final class FleetPorts {

    /** Where Linux begins its own draws (net.ipv4.ip_local_port_range). */
    static final int FIRST_EPHEMERAL = 32_768;

    private static final int FIRST = 10_000;
    /** Ports of one run: a full run needs some 1,200, and the first ones are free again by then. */
    private static final int BLOCK = 1_000;

    private static final FleetPorts RUN = new FleetPorts();

    private final ServerSocket owner;
    private int last;

    FleetPorts() {
        this.owner = claimBlock();
        this.last = owner.getLocalPort();
    }

    static int next() {
        return RUN.draw();
    }

    /** Gives the next port of the block that nothing listens on. */
    synchronized int draw() {
        for (int i = 0; i < BLOCK; i++) {
            last = last + 1 < owner.getLocalPort() + BLOCK ? last + 1 : owner.getLocalPort() + 1;
            if (isFree(last)) {
                return last;
            }
        }
        throw new IllegalStateException("no free port from " + owner.getLocalPort());
    }

    private static ServerSocket claimBlock() {
        for (int first = FIRST; first + BLOCK <= FIRST_EPHEMERAL; first += BLOCK) {
            try {
                return new ServerSocket(first, 1, InetAddress.getLoopbackAddress());
            } catch (IOException e) {
                // Another run holds this block.
                continue;
            }
        }
        throw new IllegalStateException("no free block of ports");
    }

    private static boolean isFree(int port) {
        try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return s.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
