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
package org.hallwall.entry.routing;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

import org.apache.commons.codec.digest.MurmurHash3;

/** Policy for choosing among the usable groups. */
public enum RoutingPolicy {
    /** Chooses a group uniformly at random. */
    RANDOM {
        @Override
        GroupRoutingState choose(List<GroupRoutingState> groups, String prompt, RandomGenerator random) {
            return groups.get(random.nextInt(groups.size()));
        }
    },
    /** Chooses the less loaded of two random groups (power of two choices). */
    LEAST_OUTSTANDING {
        @Override
        GroupRoutingState choose(List<GroupRoutingState> groups, String prompt, RandomGenerator random) {
            return lessLoadedOfTwo(groups, random);
        }
    },
    /** Rendezvous hashing on the prefix of the prompt with bounded loads, for reuse of cached prefixes. */
    PREFIX_AFFINITY {
        @Override
        GroupRoutingState choose(List<GroupRoutingState> groups, String prompt, RandomGenerator random) {
            double maxLoad = averageLoad(groups) * LOAD_FACTOR + 1;
            String prefix = prompt.substring(0, Math.min(prompt.length(), PREFIX_LENGTH));
            List<GroupRoutingState> ranked = groups.stream()
                    .sorted(Comparator.comparingLong((GroupRoutingState g) -> rank(prefix, g)))
                    .toList();
            for (GroupRoutingState g : ranked) {
                if (g.estimatedLoad() < maxLoad) {
                    return g;
                }
            }
            return lessLoadedOfTwo(groups, random);
        }
    };

    private static final double LOAD_FACTOR = 1.25;
    private static final int PREFIX_LENGTH = 512;

    abstract GroupRoutingState choose(List<GroupRoutingState> groups, String prompt, RandomGenerator random);

    private static GroupRoutingState lessLoadedOfTwo(List<GroupRoutingState> groups, RandomGenerator random) {
        GroupRoutingState a = groups.get(random.nextInt(groups.size()));
        GroupRoutingState b = groups.get(random.nextInt(groups.size()));
        return a.estimatedLoad() <= b.estimatedLoad() ? a : b;
    }

    private static double averageLoad(List<GroupRoutingState> groups) {
        double sum = 0;
        for (GroupRoutingState g : groups) {
            sum += g.estimatedLoad();
        }
        return sum / groups.size();
    }

    private static long rank(String prefix, GroupRoutingState g) {
        byte[] bytes = (prefix + '\n' + g.group()).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes)[0];
    }
}
