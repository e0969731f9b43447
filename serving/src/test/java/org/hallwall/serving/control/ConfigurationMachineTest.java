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

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The highest version wins and its bytes are never altered. */
class ConfigurationMachineTest {

    private static byte[] command(long version, String text) {
        return ConfigurationMachine.command(version, PackedBytes.pack(text.getBytes(StandardCharsets.UTF_8)));
    }

    @ParameterizedTest
    @CsvSource({"7, 9, nine, 2", "7, 7, seven, 1", "7, 3, seven, 1"})
    void theHighestVersionWins(long first, long second, String expected, int changes) throws Exception {
        AtomicInteger told = new AtomicInteger();
        ConfigurationMachine machine = new ConfigurationMachine(told::incrementAndGet);
        machine.apply(1, command(first, "seven"));
        Object held = machine.apply(2, command(second, second == first ? "other" : "nine"));
        Assertions.assertEquals(Math.max(first, second), held);
        Assertions.assertEquals(expected, text(machine));
        Assertions.assertEquals(changes, told.get());
    }

    @ParameterizedTest
    @CsvSource({"0", "5"})
    void aSnapshotRestoresTheState(long version) throws Exception {
        ConfigurationMachine machine = new ConfigurationMachine(() -> {});
        if (version > 0) {
            machine.apply(1, command(version, "content"));
        }
        ConfigurationMachine restored = new ConfigurationMachine(() -> {});
        restored.restore(1, machine.snapshot());
        Assertions.assertEquals(version, restored.held().version());
        Assertions.assertArrayEquals(machine.held().packed(), restored.held().packed());
    }

    private static String text(ConfigurationMachine machine) throws Exception {
        return new String(PackedBytes.unpack(machine.held().packed()), StandardCharsets.UTF_8);
    }
}
