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
package org.hallwall.fakes;

import org.hallwall.core.id.FabricDomainId;
import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.id.ServiceId;
import org.hallwall.core.settings.NetAddress;

/**
 * The settings of one stand-in target.
 *
 * @param instance its name
 * @param failureDomain its failure domain
 * @param fabricDomain its fabric domain
 * @param accelerators how many accelerators it claims to have
 * @param listen where it listens
 * @param advertise the address it announces; null for the one it listens on
 * @param checksFencing whether it refuses old fencing numbers and expired orders
 * @param service the plain service that it offers; null for a model engine
 * @param slots how many runs it executes at once
 * @param tokensPerSecond the tokens a second of each run
 * @param prefillTokensPerSecond how fast it reads prompts that are not cached
 * @param cacheBlocks the size of its prefix cache, in blocks
 * @param weightMillis how long it takes to load weights
 * @param loadLagMillis how old the load is that it reports
 * @param serviceMillis how long a call of the plain service takes
 */
public record FakeTargetSettings(
        InstanceId instance,
        FailureDomainId failureDomain,
        FabricDomainId fabricDomain,
        Integer accelerators,
        NetAddress listen,
        NetAddress advertise,
        Boolean checksFencing,
        ServiceId service,
        Integer slots,
        Double tokensPerSecond,
        Double prefillTokensPerSecond,
        Integer cacheBlocks,
        Long weightMillis,
        Long loadLagMillis,
        Long serviceMillis) {

    private static final int USUAL_ACCELERATORS = 4;
    private static final int USUAL_SLOTS = 32;
    private static final double USUAL_RATE = 200;
    private static final double USUAL_PREFILL_RATE = 20_000;
    private static final int USUAL_BLOCKS = 2_000;
    private static final long USUAL_WEIGHT_MILLIS = 500;
    private static final long USUAL_LAG_MILLIS = 200;

    /** Fills in what the file leaves out. */
    public FakeTargetSettings {
        accelerators = accelerators == null ? USUAL_ACCELERATORS : accelerators;
        checksFencing = checksFencing == null || checksFencing;
        slots = slots == null ? USUAL_SLOTS : slots;
        tokensPerSecond = tokensPerSecond == null ? USUAL_RATE : tokensPerSecond;
        prefillTokensPerSecond = prefillTokensPerSecond == null ? USUAL_PREFILL_RATE : prefillTokensPerSecond;
        cacheBlocks = cacheBlocks == null ? USUAL_BLOCKS : cacheBlocks;
        weightMillis = weightMillis == null ? USUAL_WEIGHT_MILLIS : weightMillis;
        loadLagMillis = loadLagMillis == null ? USUAL_LAG_MILLIS : loadLagMillis;
        serviceMillis = serviceMillis == null ? 0 : serviceMillis;
    }
}
