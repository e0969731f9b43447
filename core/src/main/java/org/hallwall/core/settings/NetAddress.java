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
package org.hallwall.core.settings;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * An IP address and a port.
 *
 * @param host the IP address
 * @param port the port; zero lets the system choose one
 */
public record NetAddress(String host, int port) {

    private static final int MAX_PORT = 65_535;

    /**
     * Validates the address.
     *
     * @throws IllegalArgumentException if the host is empty or the port is out of range
     */
    public NetAddress {
        if (host == null || host.isEmpty() || port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("not an address: " + host + ":" + port);
        }
    }

    /**
     * Parses an address of the form {@code HOST:PORT}.
     *
     * @param text the text
     * @return the address
     * @throws IllegalArgumentException if the text does not have this form
     */
    @JsonCreator
    public static NetAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("not HOST:PORT: " + text);
        }
        try {
            return new NetAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("not HOST:PORT: " + text, e);
        }
    }

    @JsonValue
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
