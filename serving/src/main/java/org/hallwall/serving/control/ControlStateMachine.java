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
 * The state machine of the control log: the configuration, the crash ledger and the number of entries.
 *
 * <p>A command of the ledger, and a snapshot that contains the ledger, begins with {@link #LEDGER_MARKER} in eight bytes. A command with the
 * number of entries begins with {@link #ENTRY_COUNT_MARKER}. All others contain the configuration only; its versions are not negative, so
 * logs written before the others were introduced can be read. A snapshot with a number of entries ends with it and
 * {@link #ENTRY_COUNT_TRAILER}; earlier versions ignore bytes after the ledger.
 */
final class ControlStateMachine implements StateMachine {

    private static final long LEDGER_MARKER = -1;
    private static final long ENTRY_COUNT_MARKER = -2;
    /** Marks the end of a snapshot with a number of entries; cannot be the end of a ledger by accident. */
    private static final long ENTRY_COUNT_TRAILER = 0x6877_656e_7463_6e74L;

    private static final int TRAILER_BYTES = Integer.BYTES + Long.BYTES;

    private final ConfigurationStateMachine configuration;
    private final CrashLedger ledger;
    private final EntryCountRecord entryCount;
    private final Runnable onChange;

    /**
     * Creates the state machine.
     *
     * @param configuration the state machine of the configuration
     * @param ledger the crash ledger
     * @param entryCount the number of entries
     * @param onChange called after each change of the ledger, on the log's thread
     */
    ControlStateMachine(
            ConfigurationStateMachine configuration,
            CrashLedger ledger,
            EntryCountRecord entryCount,
            Runnable onChange) {
        this.configuration = configuration;
        this.ledger = ledger;
        this.entryCount = entryCount;
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

    /** Encodes a command that records the number of entries. */
    static byte[] entryCountCommand(int count) {
        return ByteBuffer.allocate(Long.BYTES + Integer.BYTES)
                .putLong(ENTRY_COUNT_MARKER)
                .putInt(count)
                .array();
    }

    @Override
    public Object apply(long index, byte[] command) {
        ByteBuffer in = ByteBuffer.wrap(command);
        long marker = in.getLong();
        if (marker == ENTRY_COUNT_MARKER) {
            entryCount.apply(in.getInt());
            return entryCount.count();
        }
        return marker == LEDGER_MARKER ? applyToLedger(in) : configuration.apply(index, command);
    }

    private boolean applyToLedger(ByteBuffer in) {
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
        if (ledger.version() == 0 && entryCount.count() == 0) {
            return configurationState;
        }
        byte[] ledgerState = ledger.snapshot();
        int length = Long.BYTES + Integer.BYTES + configurationState.length + ledgerState.length;
        ByteBuffer out = ByteBuffer.allocate(length + (entryCount.count() > 0 ? TRAILER_BYTES : 0))
                .putLong(LEDGER_MARKER)
                .putInt(configurationState.length)
                .put(configurationState)
                .put(ledgerState);
        if (entryCount.count() > 0) {
            out.putInt(entryCount.count()).putLong(ENTRY_COUNT_TRAILER);
        }
        return out.array();
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
        entryCount.apply(removeTrailer(in));
        ledger.restore(remainingBytes(in));
        onChange.run();
    }

    /** Returns the number of entries at the end of a snapshot and excludes it from the buffer; zero if there is none. */
    private static int removeTrailer(ByteBuffer in) {
        int start = in.limit() - TRAILER_BYTES;
        if (start < in.position() || in.getLong(start + Integer.BYTES) != ENTRY_COUNT_TRAILER) {
            return 0;
        }
        int count = in.getInt(start);
        in.limit(start);
        return count;
    }

    private static byte[] remainingBytes(ByteBuffer in) {
        byte[] out = new byte[in.remaining()];
        in.get(out);
        return out;
    }
}
