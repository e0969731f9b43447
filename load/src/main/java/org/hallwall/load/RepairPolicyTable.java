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
package org.hallwall.load;

import java.util.Locale;

import org.hallwall.resource.RepairPolicy;

/** Tabulates downtime and stranded capacity of the repair policies over simulated failures. */
final class RepairPolicyTable {

    private static final double SECONDS_PER_HOUR = 3_600;

    private final int seeds;

    RepairPolicyTable(int seeds) {
        this.seeds = seeds;
    }

    String text() {
        StringBuilder out = new StringBuilder();
        out.append(String.format(
                Locale.ROOT, "%-24s %22s %30s%n", "policy", "group downtime, h", "stranded, accelerator hours"));
        for (RepairPolicy p : RepairPolicy.values()) {
            double downtime = 0;
            double stranded = 0;
            for (int seed = 0; seed < seeds; seed++) {
                RepairPolicySimulation s = new RepairPolicySimulation(seed, p).run();
                downtime += s.downtimeSeconds();
                stranded += s.strandedAcceleratorSeconds();
            }
            out.append(String.format(
                    Locale.ROOT,
                    "%-24s %22.2f %30.1f%n",
                    p,
                    downtime / seeds / SECONDS_PER_HOUR,
                    stranded / seeds / SECONDS_PER_HOUR));
        }
        return out.toString();
    }
}
