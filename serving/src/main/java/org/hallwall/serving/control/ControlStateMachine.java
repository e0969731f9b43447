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
import org.hallwall.serving.crash.CrashCommand;
import org.hallwall.serving.crash.CrashLedger;

/**
 * The state machine of the control log: the configuration and the crash ledger.
 *
 * <p>A command of the ledger, and a snapshot that contains the ledger, begins with {@link #LEDGER_MARKER} in eight bytes. All others contain
 * the configuration only; its versions are not negative, so logs written before the ledger was introduced can be read.
 */
final class ControlStateMachine implements StateMachine {

    private static final long LEDGER_MARKER = -1;

    private final ConfigurationStateMachine configuration;
    private final CrashLedger ledger;
    private final Runnable onChange;

    /**
     * Creates the state machine.
     *
     * @param configuration the state machine of the configuration
     * @param ledger the crash ledger
     * @param onChange called after each change of the ledger, on the log's thread
     */
    ControlStateMachine(ConfigurationStateMachine configuration, CrashLedger ledger, Runnable onChange) {
        this.configuration = configuration;
        this.ledger = ledger;
        this.onChange = onChange;
    }

    /** Encodes a command of the crash ledger. */
    static byte[] command(CrashCommand c) {
        byte[] bytes = c.bytes();
        return ByteBuffer.allocate(Long.BYTES + bytes.length)
                .putLong(LEDGER_MARKER)
                .put(bytes)
                .array();
    }

    @Override
    public Object apply(long index, byte[] command) {
        ByteBuffer in = ByteBuffer.wrap(command);
        if (in.getLong() != LEDGER_MARKER) {
            return configuration.apply(index, command);
        }
        long previousVersion = ledger.version();
        boolean granted = ledger.apply(CrashCommand.read(remainingBytes(in)));
        if (ledger.version() != previousVersion) {
            onChange.run();
        }
        return granted;
    }

    @Override
    public void skip(long index) {
        // internal entries of the log change no state
    }

    @Override
    public byte[] snapshot() {
        byte[] configurationState = configuration.snapshot();
        if (ledger.version() == 0) {
            return configurationState;
        }
        byte[] ledgerState = ledger.snapshot();
        return ByteBuffer.allocate(Long.BYTES + Integer.BYTES + configurationState.length + ledgerState.length)
                .putLong(LEDGER_MARKER)
                .putInt(configurationState.length)
                .put(configurationState)
                .put(ledgerState)
                .array();
    }

    @Override
    public void restore(long index, byte[] state) {
        if (state.length == 0 || ByteBuffer.wrap(state).getLong() != LEDGER_MARKER) {
            configuration.restore(index, state);
            return;
        }
        ByteBuffer in = ByteBuffer.wrap(state, Long.BYTES, state.length - Long.BYTES);
        byte[] configurationState = new byte[in.getInt()];
        in.get(configurationState);
        configuration.restore(index, configurationState);
        ledger.restore(remainingBytes(in));
        onChange.run();
    }

    private static byte[] remainingBytes(ByteBuffer in) {
        byte[] out = new byte[in.remaining()];
        in.get(out);
        return out;
    }
}
