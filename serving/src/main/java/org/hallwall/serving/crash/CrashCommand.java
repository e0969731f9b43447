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

import com.fasterxml.jackson.databind.ObjectMapper;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * A command of the log about requests that end targets; what it does not carry is empty or null.
 *
 * @param at the leader's time of day, in milliseconds since 1970; times of the state go by it, so that all voters agree
 * @param key the key of the digests, if none is set yet
 * @param ended targets that have ended, with what they ran
 * @param survived suspects that a target has answered since
 * @param trial a suspect that is held back and that a caller has sent again
 */
public record CrashCommand(
        long at, byte[] key, List<EndedTarget> ended, List<RequestDigest> survived, RequestDigest trial) {

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

    /**
     * Makes a command that sets the key.
     *
     * @param at the time of day in milliseconds
     * @param key the key
     * @return the command
     */
    public static CrashCommand key(long at, byte[] key) {
        return new CrashCommand(at, key, List.of(), List.of(), null);
    }

    /**
     * Makes a command of what an entry has seen.
     *
     * @param at the time of day in milliseconds
     * @param ended targets that have ended
     * @param survived suspects that a target has answered
     * @return the command
     */
    public static CrashCommand seen(long at, List<EndedTarget> ended, List<RequestDigest> survived) {
        return new CrashCommand(at, null, ended, survived, null);
    }

    /**
     * Makes a command that asks to try a suspect once.
     *
     * @param at the time of day in milliseconds
     * @param digest the suspect
     * @return the command
     */
    public static CrashCommand trial(long at, RequestDigest digest) {
        return new CrashCommand(at, null, List.of(), List.of(), digest);
    }

    /**
     * Writes the command.
     *
     * @return its bytes
     */
    public byte[] bytes() {
        return write(this);
    }

    /**
     * Reads a command.
     *
     * @param bytes its bytes
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
            // the log's checksums hold: these bytes were written by another version of this class
            throw new UncheckedIOException(e);
        }
    }
}
