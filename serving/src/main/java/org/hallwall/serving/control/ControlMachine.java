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
import org.hallwall.serving.crash.CrashCommand;
import org.hallwall.serving.crash.CrashLedger;

/**
 * What the log of the control instances replicates: the configuration, and which requests targets have ended under.
 *
 * <p>A command or snapshot that begins with {@link #LEDGER} in eight bytes concerns the requests; any other is the configuration's, whose
 * versions are not negative, so that a log written without the requests can be read.
 */
final class ControlMachine implements LogMachine {

    private static final long LEDGER = -1;

    private final ConfigurationMachine configuration;
    private final CrashLedger ledger;
    private final Runnable onChange;

    /**
     * Creates the machine.
     *
     * @param configuration the configuration
     * @param ledger the requests
     * @param onChange told after each change of the requests, on the log's thread
     */
    ControlMachine(ConfigurationMachine configuration, CrashLedger ledger, Runnable onChange) {
        this.configuration = configuration;
        this.ledger = ledger;
        this.onChange = onChange;
    }

    /** Makes a command of the log. */
    static byte[] command(CrashCommand c) {
        byte[] bytes = c.bytes();
        return ByteBuffer.allocate(Long.BYTES + bytes.length)
                .putLong(LEDGER)
                .put(bytes)
                .array();
    }

    @Override
    public Object apply(long index, byte[] command) {
        ByteBuffer in = ByteBuffer.wrap(command);
        if (in.getLong() != LEDGER) {
            return configuration.apply(index, command);
        }
        long before = ledger.version();
        boolean granted = ledger.apply(CrashCommand.read(rest(in)));
        if (ledger.version() != before) {
            onChange.run();
        }
        return granted;
    }

    @Override
    public void skip(long index) {
        // entries of the log itself change neither
    }

    @Override
    public byte[] snapshot() {
        byte[] first = configuration.snapshot();
        if (ledger.version() == 0) {
            return first;
        }
        byte[] second = ledger.snapshot();
        return ByteBuffer.allocate(Long.BYTES + Integer.BYTES + first.length + second.length)
                .putLong(LEDGER)
                .putInt(first.length)
                .put(first)
                .put(second)
                .array();
    }

    @Override
    public void restore(long index, byte[] state) {
        if (state.length == 0 || ByteBuffer.wrap(state).getLong() != LEDGER) {
            configuration.restore(index, state);
            return;
        }
        ByteBuffer in = ByteBuffer.wrap(state, Long.BYTES, state.length - Long.BYTES);
        byte[] first = new byte[in.getInt()];
        in.get(first);
        configuration.restore(index, first);
        ledger.restore(rest(in));
        onChange.run();
    }

    private static byte[] rest(ByteBuffer in) {
        byte[] out = new byte[in.remaining()];
        in.get(out);
        return out;
    }
}
