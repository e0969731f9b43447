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

/** Draws the arrivals of an experiment: a Poisson process with a fixed seed. */
final class LoadArrivals {

    private static final double NANOS_PER_SECOND = 1e9;

    private LoadArrivals() {}

    static List<LoadRequest> draw(LoadExperiment e) {
        Random random = new Random(e.seed());
        List<LoadRequest> out = new ArrayList<>();
        double at = 0;
        double end = e.warmupSeconds() + e.seconds();
        while (true) {
            at += -Math.log(1 - random.nextDouble()) / e.requestsPerSecond();
            if (at >= end) {
                return out;
            }
            out.add(request(e, random, out.size(), at));
        }
    }

    private static LoadRequest request(LoadExperiment e, Random random, int number, double at) {
        String prompt = prefix(e, random.nextInt(e.prefixes())) + " request " + e.seed() + "-" + number;
        boolean streamed = random.nextDouble() < e.streamedShare();
        boolean keyed = random.nextDouble() < e.keyedShare();
        double dice = random.nextDouble();
        String priority = dice < e.highShare() ? "high" : dice < e.highShare() + e.lowShare() ? "low" : "normal";
        return new LoadRequest(
                number,
                (long) (at * NANOS_PER_SECOND),
                at >= e.warmupSeconds(),
                prompt,
                streamed,
                keyed ? e.name() + "-" + System.nanoTime() + "-" + number : null,
                priority);
    }

    private static String prefix(LoadExperiment e, int i) {
        StringBuilder out = new StringBuilder("p" + i);
        while (out.length() < e.prefixChars()) {
            out.append(" prefix ").append(i);
        }
        return out.toString();
    }
}
