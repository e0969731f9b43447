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
package org.hallwall.serving.relay;

import java.util.Random;

/** What happens to simulated entries between two spans of requests. */
enum SimulatedEvent {
    RESTART_ENTRIES {
        @Override
        void apply(SimulatedEntries s, Random random) {
            s.restart(random.nextDouble());
        }
    },
    RESTART_CONTROL {
        @Override
        void apply(SimulatedEntries s, Random random) {
            s.restartControl();
        }
    },
    RESTART_ALL {
        @Override
        void apply(SimulatedEntries s, Random random) {
            s.restart(1);
            s.restartControl();
        }
    },
    PARTITION {
        @Override
        void apply(SimulatedEntries s, Random random) {
            s.setPartitioned(true);
        }
    },
    HEAL {
        @Override
        void apply(SimulatedEntries s, Random random) {
            s.setPartitioned(false);
        }
    },
    STOP_TARGETS {
        @Override
        void apply(SimulatedEntries s, Random random) {
            s.stopTargets(1 + random.nextInt(5), 500 + random.nextInt(12_000));
        }
    },
    END_TARGETS {
        @Override
        void apply(SimulatedEntries s, Random random) {
            s.endTargets(1 + random.nextInt(2), 500 + random.nextInt(12_000));
        }
    },
    SHIFT_CALLERS {
        @Override
        void apply(SimulatedEntries s, Random random) {
            s.shiftCallers();
        }
    },
    CROWD {
        @Override
        void apply(SimulatedEntries s, Random random) {
            s.setIdleLoadFactor(1 + random.nextInt(5));
        }
    };

    abstract void apply(SimulatedEntries s, Random random);
}
