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

import org.hallwall.log.StateMachine;

/**
 * The state machine of the configuration: the operator's bytes of the highest accepted version.
 *
 * <p>A command consists of the version in eight bytes and the compressed bytes of the configuration.
 */
public final class ConfigurationStateMachine implements StateMachine {

    private static final byte[] EMPTY = new byte[0];

    private final Runnable onChange;
    private volatile StoredConfiguration current = new StoredConfiguration(0, EMPTY);

    /**
     * Creates the state machine without a configuration.
     *
     * @param onChange called after each change, on the log's thread
     */
    public ConfigurationStateMachine(Runnable onChange) {
        this.onChange = onChange;
    }

    /**
     * Encodes a command.
     *
     * @param version the operator's version
     * @param compressed the compressed configuration
     * @return the command
     */
    public static byte[] command(long version, byte[] compressed) {
        return ByteBuffer.allocate(Long.BYTES + compressed.length)
                .putLong(version)
                .put(compressed)
                .array();
    }

    /**
     * Returns the stored configuration.
     *
     * @return the version and the compressed bytes
     */
    public StoredConfiguration current() {
        return current;
    }

    @Override
    public Object apply(long index, byte[] command) {
        ByteBuffer in = ByteBuffer.wrap(command);
        long version = in.getLong();
        if (version > current.version()) {
            byte[] compressed = new byte[in.remaining()];
            in.get(compressed);
            current = new StoredConfiguration(version, compressed);
            onChange.run();
        }
        return current.version();
    }

    @Override
    public void skip(long index) {
        // internal entries of the log carry no configuration
    }

    @Override
    public byte[] snapshot() {
        StoredConfiguration stored = current;
        return stored.version() == 0 ? EMPTY : command(stored.version(), stored.compressed());
    }

    @Override
    public void restore(long index, byte[] state) {
        if (state.length > 0) {
            apply(index, state);
        }
    }

    /**
     * A stored configuration.
     *
     * @param version the operator's version; zero if there is none
     * @param compressed the compressed bytes
     */
    public record StoredConfiguration(long version, byte[] compressed) {}
}
