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
package org.hallwall.serving.crash;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * A replicated log command that updates the crash suspects; unused fields are empty or null.
 *
 * @param at the leader's wall clock in milliseconds since the epoch; all voters apply this time
 * @param key the digest key, set once
 * @param ended crashed targets and the requests that they were running
 * @param survived suspects that a target has answered, in reports of earlier versions; all their crashes are dropped
 * @param trial a held request that a caller has sent again
 * @param exonerations answers to suspects
 */
public record CrashCommand(
        long at,
        byte[] key,
        List<CrashedTarget> ended,
        List<Fingerprint> survived,
        Fingerprint trial,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Exoneration> exonerations) {

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

    /** Reads commands of earlier versions. */
    public CrashCommand {
        exonerations = exonerations == null ? List.of() : exonerations;
    }

    /**
     * Creates a command that sets the digest key.
     *
     * @param at the wall clock in milliseconds
     * @param key the digest key
     * @return the command
     */
    public static CrashCommand key(long at, byte[] key) {
        return new CrashCommand(at, key, List.of(), List.of(), null, List.of());
    }

    /**
     * Creates a command from an entry's report.
     *
     * @param at the wall clock in milliseconds
     * @param ended crashed targets
     * @param survived suspects that a target has answered, in reports of earlier versions
     * @param exonerations answers to suspects
     * @return the command
     */
    public static CrashCommand report(
            long at, List<CrashedTarget> ended, List<Fingerprint> survived, List<Exoneration> exonerations) {
        return new CrashCommand(at, null, ended, survived, null, exonerations);
    }

    /**
     * Creates a command that requests a trial of a held request.
     *
     * @param at the wall clock in milliseconds
     * @param digest the held request
     * @return the command
     */
    public static CrashCommand trial(long at, Fingerprint digest) {
        return new CrashCommand(at, null, List.of(), List.of(), digest, List.of());
    }

    /**
     * Encodes the command as MessagePack.
     *
     * @return the encoded command
     */
    public byte[] bytes() {
        return write(this);
    }

    /**
     * Decodes a command.
     *
     * @param bytes the encoded command
     * @return the command
     */
    public static CrashCommand read(byte[] bytes) {
        return read(bytes, CrashCommand.class);
    }

    static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static <T> T read(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException e) {
            // log entries are checksummed, so this is an incompatible version rather than corruption
            throw new UncheckedIOException(e);
        }
    }
}
