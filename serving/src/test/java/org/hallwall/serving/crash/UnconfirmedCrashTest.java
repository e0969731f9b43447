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

import java.util.ArrayList;
import java.util.List;

import org.hallwall.core.id.InstanceId;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;

/** Guards against blaming a target for the lost links of an entry: a crash counts only if its neighbours are reached. */
class UnconfirmedCrashTest {

    private static final InstanceId TARGET = new InstanceId("i-1");
    private static final RequestFeatures FEATURES =
            RequestFeatures.of(new Fingerprint("00112233445566778899aabbccddeeff"));

    private final List<CrashedTarget> reported = new ArrayList<>();

    /** How an entry notices that a target does not respond. */
    private enum Sign {
        REFUSED {
            @Override
            void show(CrashWatch watch) {
                watch.recordAbandoned(TARGET, FEATURES, ResponseProgress.NONE);
                watch.recordRefusal(TARGET);
            }
        },
        DISCONNECTED {
            @Override
            void show(CrashWatch watch) {
                watch.recordDisconnect(TARGET, FEATURES, ResponseProgress.NONE);
            }
        };

        abstract void show(CrashWatch watch);
    }

    @ParameterizedTest
    @CsvSource({"REFUSED, true, 1", "REFUSED, false, 0", "DISCONNECTED, true, 1", "DISCONNECTED, false, 0"})
    void aCrashCountsOnlyIfNeighboursAreReached(Sign sign, boolean reached, int crashes) {
        sign.show(new CrashWatch(new Peers(reached), Runnable::run, () -> 1_000));
        Assertions.assertEquals(crashes, reported.size());
    }

    private final class Peers implements CrashPeers {

        private final boolean reached;

        Peers(boolean reached) {
            this.reached = reached;
        }

        @Override
        public Mono<Boolean> isResponding(InstanceId target) {
            return Mono.just(false);
        }

        @Override
        public Mono<Boolean> refusesConnections(InstanceId target) {
            return Mono.just(true);
        }

        @Override
        public Mono<Boolean> reachesNeighbours(InstanceId target) {
            return Mono.just(reached);
        }

        @Override
        public boolean hasRestarted(InstanceId target) {
            return false;
        }

        @Override
        public Mono<Long> report(List<CrashedTarget> ended, List<Exoneration> exonerations) {
            reported.addAll(ended);
            return Mono.just(1L);
        }

        @Override
        public Mono<TrialDecision> requestTrial(Fingerprint digest) {
            return Mono.empty();
        }
    }
}
