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

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.crash.CrashPeers;
import org.hallwall.serving.crash.CrashedTarget;
import org.hallwall.serving.crash.Exoneration;
import org.hallwall.serving.crash.Fingerprint;
import reactor.core.publisher.Mono;

/** Crash peers without a reachable leader; targets respond unless a test marks them as ended. */
final class ScriptedCrashPeers implements CrashPeers {

    private final Set<InstanceId> endedTargets = ConcurrentHashMap.newKeySet();
    private final Set<InstanceId> restartedTargets = ConcurrentHashMap.newKeySet();
    private final List<CrashedTarget> reported = new CopyOnWriteArrayList<>();

    void markEnded(String target) {
        endedTargets.add(new InstanceId(target));
    }

    void markRestarted(String target) {
        restartedTargets.add(new InstanceId(target));
    }

    List<CrashedTarget> reported() {
        return reported;
    }

    @Override
    public Mono<Boolean> isResponding(InstanceId target) {
        return Mono.just(!endedTargets.contains(target));
    }

    @Override
    public Mono<Boolean> reachesNeighbours(InstanceId target) {
        return Mono.just(true);
    }

    @Override
    public Mono<Boolean> refusesConnections(InstanceId target) {
        return Mono.just(endedTargets.contains(target));
    }

    @Override
    public boolean hasRestarted(InstanceId target) {
        return restartedTargets.contains(target);
    }

    @Override
    public Mono<Long> report(List<CrashedTarget> ended, List<Exoneration> exonerations) {
        reported.addAll(ended);
        return Mono.empty();
    }

    @Override
    public Mono<TrialDecision> requestTrial(Fingerprint digest) {
        return Mono.empty();
    }
}
