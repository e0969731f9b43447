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
package org.hallwall.simulation;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.hallwall.program.ExitCode;
import org.hallwall.serving.decision.Mechanism;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Checks the result table and the rejection of invalid arguments. */
class ExperimentMainTest {

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private ExitCode run(String... args) {
        return ExperimentMain.run(
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8),
                args);
    }

    @Test
    void tableListsEveryMechanism() {
        Assertions.assertEquals(ExitCode.SUCCESS, run("--seeds", "2", "--pattern", "FOUR_AND_TWO"));
        String text = out.toString(StandardCharsets.UTF_8);
        for (Mechanism m : Mechanism.values()) {
            Assertions.assertTrue(text.contains(m.name()), text);
        }
    }

    @Test
    void invalidArgumentsAreReported() {
        Assertions.assertEquals(ExitCode.USAGE_ERROR, run("--pattern", "FOUR_AND_TWO", "--seeds", "many"));
        Assertions.assertFalse(err.toString(StandardCharsets.UTF_8).isEmpty());
    }
}
