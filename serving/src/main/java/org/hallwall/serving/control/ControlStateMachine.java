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
import java.util.List;

import org.hallwall.log.StateMachine;
import org.hallwall.serving.crash.CrashCommand;
import org.hallwall.serving.crash.CrashLedger;
import org.hallwall.serving.target.TargetEnds;
import org.hallwall.serving.target.TargetEnds.RecordedEnd;

/**
 * The state machine of the control log: the configuration, the crash ledger, the number of entries and the ends of targets.
 *
 * <p>A command of the ledger, and a snapshot that contains the ledger, begins with {@link #LEDGER_MARKER} in eight bytes. A command with the
 * number of entries begins with {@link #ENTRY_COUNT_MARKER}, one with ends of targets with {@link #TARGET_END_MARKER}. All others contain the configuration only; its versions are not negative, so
 * logs written before the others were introduced can be read. A snapshot with a number of entries ends with it and
 * {@link #ENTRY_COUNT_TRAILER}, before which the ends of targets may stand with {@link #TARGET_END_TRAILER}; earlier versions ignore bytes
 * after the ledger.
 */
final class ControlStateMachine implements StateMachine {

    private static final long LEDGER_MARKER = -1;
    private static final long ENTRY_COUNT_MARKER = -2;
    private static final long TARGET_END_MARKER = -3;
    /** Marks the end of a snapshot with a number of entries; cannot be the end of a ledger by accident. */
    private static final long ENTRY_COUNT_TRAILER = 0x6877_656e_7463_6e74L;

    /** Marks the end of the ends of targets in a snapshot. */
    private static final long TARGET_END_TRAILER = 0x6877_7467_7465_6e64L;

    private static final int TRAILER_BYTES = Integer.BYTES + Long.BYTES;

    private final ConfigurationStateMachine configuration;
    private final CrashLedger ledger;
    private final EntryCountRecord entryCount;
    private final TargetEnds ends;
    private final Runnable onChange;

    /**
     * Creates the state machine.
     *
     * @param configuration the state machine of the configuration
     * @param ledger the crash ledger
     * @param entryCount the number of entries
     * @param ends the ends of targets
     * @param onChange called after each change of the ledger, on the log's thread
     */
    ControlStateMachine(
            ConfigurationStateMachine configuration,
            CrashLedger ledger,
            EntryCountRecord entryCount,
            TargetEnds ends,
            Runnable onChange) {
        this.configuration = configuration;
        this.ledger = ledger;
        this.entryCount = entryCount;
        this.ends = ends;
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

    /** Encodes a command that records ends of targets. */
    static byte[] targetEndCommand(List<RecordedEnd> recorded) {
        byte[] bytes = TargetEndCodec.encode(recorded);
        return ByteBuffer.allocate(Long.BYTES + bytes.length)
                .putLong(TARGET_END_MARKER)
                .put(bytes)
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
        if (marker == TARGET_END_MARKER) {
            TargetEndCodec.decode(remainingBytes(in)).forEach(r -> ends.record(r.end(), r.at()));
            return true;
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
        List<RecordedEnd> recorded = ends.list();
        if (ledger.version() == 0 && entryCount.count() == 0 && recorded.isEmpty()) {
            return configurationState;
        }
        byte[] ledgerState = ledger.snapshot();
        byte[] endState = recorded.isEmpty() ? new byte[0] : TargetEndCodec.encode(recorded);
        int endLength = recorded.isEmpty() ? 0 : endState.length + TRAILER_BYTES;
        int length = Long.BYTES + Integer.BYTES + configurationState.length + ledgerState.length + endLength;
        ByteBuffer out = ByteBuffer.allocate(length + (entryCount.count() > 0 ? TRAILER_BYTES : 0))
                .putLong(LEDGER_MARKER)
                .putInt(configurationState.length)
                .put(configurationState)
                .put(ledgerState);
        if (!recorded.isEmpty()) {
            out.put(endState).putInt(endState.length).putLong(TARGET_END_TRAILER);
        }
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
        entryCount.apply(removeTrailer(in, ENTRY_COUNT_TRAILER));
        ends.restore(removeEnds(in));
        ledger.restore(remainingBytes(in));
        onChange.run();
    }

    /** Returns the number at the end of a buffer and excludes it with its trailer; zero if there is none. */
    private static int removeTrailer(ByteBuffer in, long trailer) {
        int start = in.limit() - TRAILER_BYTES;
        if (start < in.position() || in.getLong(start + Integer.BYTES) != trailer) {
            return 0;
        }
        int number = in.getInt(start);
        in.limit(start);
        return number;
    }

    private static List<RecordedEnd> removeEnds(ByteBuffer in) {
        int length = removeTrailer(in, TARGET_END_TRAILER);
        if (length == 0) {
            return List.of();
        }
        byte[] bytes = new byte[length];
        int start = in.limit() - length;
        in.get(start, bytes);
        in.limit(start);
        return TargetEndCodec.decode(bytes);
    }

    private static byte[] remainingBytes(ByteBuffer in) {
        byte[] out = new byte[in.remaining()];
        in.get(out);
        return out;
    }
}
