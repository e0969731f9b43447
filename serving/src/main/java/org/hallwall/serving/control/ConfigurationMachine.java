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
package org.hallwall.serving.control;

import java.nio.ByteBuffer;

import org.hallwall.log.LogMachine;

/**
 * The replicated configuration: the operator's bytes of the highest version that was accepted.
 *
 * <p>A command is the version in eight bytes and the compressed bytes of the configuration.
 */
public final class ConfigurationMachine implements LogMachine {

    private static final byte[] NOTHING = new byte[0];

    private final Runnable onChange;
    private volatile Held held = new Held(0, NOTHING);

    /**
     * Creates the machine without a configuration.
     *
     * @param onChange told after each change, on the log's thread
     */
    public ConfigurationMachine(Runnable onChange) {
        this.onChange = onChange;
    }

    /**
     * Makes a command.
     *
     * @param version the operator's version
     * @param packed the compressed bytes
     * @return the command
     */
    public static byte[] command(long version, byte[] packed) {
        return ByteBuffer.allocate(Long.BYTES + packed.length)
                .putLong(version)
                .put(packed)
                .array();
    }

    /**
     * Gives what is held.
     *
     * @return the version and its compressed bytes
     */
    public Held held() {
        return held;
    }

    @Override
    public Object apply(long index, byte[] command) {
        ByteBuffer in = ByteBuffer.wrap(command);
        long version = in.getLong();
        if (version > held.version()) {
            byte[] packed = new byte[in.remaining()];
            in.get(packed);
            held = new Held(version, packed);
            onChange.run();
        }
        return held.version();
    }

    @Override
    public void skip(long index) {
        // entries of the log itself carry no configuration
    }

    @Override
    public byte[] snapshot() {
        Held h = held;
        return h.version() == 0 ? NOTHING : command(h.version(), h.packed());
    }

    @Override
    public void restore(long index, byte[] state) {
        if (state.length > 0) {
            apply(index, state);
        }
    }

    /**
     * A configuration as it is kept.
     *
     * @param version the operator's version; zero if there is none
     * @param packed the compressed bytes
     */
    public record Held(long version, byte[] packed) {}
}
