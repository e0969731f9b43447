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
 * Allocates loopback ports that remain free until the process under test binds them.
 *
 * <p>All ports are below the ephemeral range, so that the system never assigns them to a proxy or an outgoing connection. Each
 * test run reserves a block of ports by listening on its first port, so that concurrent runs share none.
 */
final class FleetPorts {

    /** Start of the default ephemeral port range of Linux (net.ipv4.ip_local_port_range). */
    static final int FIRST_EPHEMERAL = 32_768;

    private static final int FIRST_PORT = 10_000;
    /** Ports per test run; a longer run reuses ports that have been released. */
    private static final int BLOCK_SIZE = 1_000;

    private static final FleetPorts CURRENT_RUN = new FleetPorts();

    private final ServerSocket blockLock;
    private int last;

    FleetPorts() {
        this.blockLock = claimBlock();
        this.last = blockLock.getLocalPort();
    }

    static int next() {
        return CURRENT_RUN.allocate();
    }

    /** Returns the next unused port of the block. */
    synchronized int allocate() {
        for (int i = 0; i < BLOCK_SIZE; i++) {
            last = last + 1 < blockLock.getLocalPort() + BLOCK_SIZE ? last + 1 : blockLock.getLocalPort() + 1;
            if (isFree(last)) {
                return last;
            }
        }
        throw new IllegalStateException("no free port from " + blockLock.getLocalPort());
    }

    private static ServerSocket claimBlock() {
        for (int first = FIRST_PORT; first + BLOCK_SIZE <= FIRST_EPHEMERAL; first += BLOCK_SIZE) {
            try {
                return new ServerSocket(first, 1, InetAddress.getLoopbackAddress());
            } catch (IOException e) {
                // Another run has reserved this block.
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
