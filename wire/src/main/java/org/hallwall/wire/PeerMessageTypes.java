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
package org.hallwall.wire;

import java.util.HashMap;
import java.util.Map;

/** The registry of message types and their numbers on the wire. */
public final class PeerMessageTypes {

    static final int HELLO = 1;
    static final int PING = 2;

    private final Map<Integer, Class<? extends PeerMessage>> byNumber = new HashMap<>();
    private final Map<Class<? extends PeerMessage>, Integer> byType = new HashMap<>();

    /** Creates a registry that contains the message types of the protocol itself. */
    public PeerMessageTypes() {
        register(HELLO, PeerHello.class);
        register(PING, PeerPing.class);
    }

    /**
     * Registers a message type.
     *
     * @param number its number on the wire
     * @param type its class
     * @return this object
     * @throws IllegalArgumentException if the number or the class is already registered
     */
    public PeerMessageTypes register(int number, Class<? extends PeerMessage> type) {
        if (byNumber.put(number, type) != null || byType.put(type, number) != null) {
            throw new IllegalArgumentException("message type " + number + " or its class is already registered");
        }
        return this;
    }

    Class<? extends PeerMessage> typeOf(int number) {
        return byNumber.get(number);
    }

    int numberOf(PeerMessage message) {
        Integer number = byType.get(message.getClass());
        if (number == null) {
            throw new IllegalArgumentException("unregistered message type " + message.getClass());
        }
        return number;
    }
}
