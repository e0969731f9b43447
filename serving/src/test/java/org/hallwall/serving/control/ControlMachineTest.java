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
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.crash.CrashCommand;
import org.hallwall.serving.crash.CrashLedger;
import org.hallwall.serving.crash.EndedTarget;
import org.hallwall.serving.crash.RequestDigest;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** One log for the configuration and for requests that end targets: neither disturbs the other, and logs without the latter are read. */
class ControlMachineTest {

    private static final byte[] PACKED = "packed".getBytes(StandardCharsets.UTF_8);

    private final AtomicInteger told = new AtomicInteger();
    private ConfigurationMachine configuration;
    private CrashLedger ledger;
    private ControlMachine machine;

    @BeforeEach
    void startAgain() {
        configuration = new ConfigurationMachine(() -> {});
        ledger = new CrashLedger();
        machine = new ControlMachine(configuration, ledger, told::incrementAndGet);
    }

    private void hold() {
        for (int i = 0; i < 3; i++) {
            EndedTarget e = new EndedTarget(new InstanceId("t-" + i), List.of(new RequestDigest("d")));
            machine.apply(i + 1, ControlMachine.command(CrashCommand.seen(1, List.of(e), List.of())));
        }
    }

    private void restart() {
        byte[] snapshot = machine.snapshot();
        startAgain();
        machine.restore(9, snapshot);
    }

    @Test
    void bothAreRestored() {
        machine.apply(1, ConfigurationMachine.command(7, PACKED));
        hold();
        restart();
        Assertions.assertEquals(7, configuration.held().version());
        Assertions.assertArrayEquals(PACKED, configuration.held().packed());
        Assertions.assertEquals(1, ledger.held().size());
    }

    @Test
    void requestsAreRestoredWithoutAConfiguration() {
        hold();
        restart();
        Assertions.assertEquals(0, configuration.held().version());
        Assertions.assertEquals(1, ledger.held().size());
    }

    /** A snapshot of an earlier version of the programs is one of the configuration alone. */
    @Test
    void aSnapshotOfTheConfigurationAloneIsRead() {
        ConfigurationMachine alone = new ConfigurationMachine(() -> {});
        alone.apply(1, ConfigurationMachine.command(7, PACKED));
        machine.restore(1, alone.snapshot());
        Assertions.assertEquals(7, configuration.held().version());
        Assertions.assertEquals(0, ledger.version());
    }

    @Test
    void anEmptySnapshotIsTheBeginning() {
        machine.restore(0, new byte[0]);
        Assertions.assertEquals(0, configuration.held().version());
        Assertions.assertEquals(0, machine.snapshot().length);
    }

    @Test
    void onlyChangesOfTheRequestsAreTold() {
        hold();
        int before = told.get();
        machine.apply(4, ConfigurationMachine.command(7, PACKED));
        EndedTarget known = new EndedTarget(new InstanceId("t-1"), List.of(new RequestDigest("d")));
        machine.apply(5, ControlMachine.command(CrashCommand.seen(1, List.of(known), List.of())));
        Assertions.assertEquals(before, told.get());
    }
}
