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

/** Tests that the highest version wins and that its bytes are kept unchanged. */
class ConfigurationStateMachineTest {

    private static byte[] command(long version, String text) {
        return ConfigurationStateMachine.command(version, Gzip.compress(text.getBytes(StandardCharsets.UTF_8)));
    }

    @ParameterizedTest
    @CsvSource({"7, 9, nine, 2", "7, 7, seven, 1", "7, 3, seven, 1"})
    void theHighestVersionWins(long first, long second, String expected, int changes) throws Exception {
        AtomicInteger notifications = new AtomicInteger();
        ConfigurationStateMachine machine = new ConfigurationStateMachine(notifications::incrementAndGet);
        machine.apply(1, command(first, "seven"));
        Object version = machine.apply(2, command(second, second == first ? "other" : "nine"));
        Assertions.assertEquals(Math.max(first, second), version);
        Assertions.assertEquals(expected, text(machine));
        Assertions.assertEquals(changes, notifications.get());
    }

    @ParameterizedTest
    @CsvSource({"0", "5"})
    void aSnapshotRestoresTheState(long version) throws Exception {
        ConfigurationStateMachine machine = new ConfigurationStateMachine(() -> {});
        if (version > 0) {
            machine.apply(1, command(version, "content"));
        }
        ConfigurationStateMachine restored = new ConfigurationStateMachine(() -> {});
        restored.restore(1, machine.snapshot());
        Assertions.assertEquals(version, restored.current().version());
        Assertions.assertArrayEquals(
                machine.current().compressed(), restored.current().compressed());
    }

    private static String text(ConfigurationStateMachine machine) throws Exception {
        return new String(Gzip.decompress(machine.current().compressed()), StandardCharsets.UTF_8);
    }
}
