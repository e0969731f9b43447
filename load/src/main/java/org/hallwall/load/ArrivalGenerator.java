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

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Generates the requests of an experiment as a Poisson process with a fixed seed. */
final class ArrivalGenerator {

    private static final double NANOS_PER_SECOND = 1e9;

    private ArrivalGenerator() {}

    static List<LoadRequest> generate(LoadExperiment e) {
        Random random = new Random(e.seed());
        List<LoadRequest> out = new ArrayList<>();
        double atSeconds = 0;
        double end = e.warmupSeconds() + e.seconds();
        while (true) {
            atSeconds += -Math.log(1 - random.nextDouble()) / e.requestsPerSecond();
            if (atSeconds >= end) {
                return out;
            }
            out.add(createRequest(e, random, out.size(), atSeconds));
        }
    }

    private static LoadRequest createRequest(LoadExperiment e, Random random, int number, double atSeconds) {
        String prompt = createPrefix(e, random.nextInt(e.prefixes())) + " request " + e.seed() + "-" + number;
        boolean streamed = random.nextDouble() < e.streamedShare();
        boolean keyed = random.nextDouble() < e.keyedShare();
        double priorityDraw = random.nextDouble();
        String priority =
                priorityDraw < e.highShare() ? "high" : priorityDraw < e.highShare() + e.lowShare() ? "low" : "normal";
        return new LoadRequest(
                number,
                (long) (atSeconds * NANOS_PER_SECOND),
                atSeconds >= e.warmupSeconds(),
                prompt,
                streamed,
                keyed ? e.name() + "-" + System.nanoTime() + "-" + number : null,
                priority);
    }

    private static String createPrefix(LoadExperiment e, int i) {
        StringBuilder out = new StringBuilder("p" + i);
        while (out.length() < e.prefixChars()) {
            out.append(" prefix ").append(i);
        }
        return out.toString();
    }
}
