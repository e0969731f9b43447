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
 * Settings of a fake target.
 *
 * @param instance the instance id
 * @param failureDomain the failure domain
 * @param fabricDomain the fabric domain
 * @param accelerators the announced number of accelerators
 * @param listen the listen address
 * @param advertise the announced address; null for the listen address
 * @param checksFencing whether stale fencing numbers and expired orders are refused
 * @param service the offered plain service; null for a model engine
 * @param slots the maximum number of concurrent runs
 * @param tokensPerSecond the generation rate of each run
 * @param prefillTokensPerSecond the prefill rate for uncached prompt tokens
 * @param cacheBlocks the size of the prefix cache, in blocks
 * @param weightMillis the duration of a weight load
 * @param loadLagMillis the update interval of the reported load
 * @param serviceMillis the duration of a call of the plain service
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

    private static final int DEFAULT_ACCELERATORS = 4;
    private static final int DEFAULT_SLOTS = 32;
    private static final double DEFAULT_TOKENS_PER_SECOND = 200;
    private static final double DEFAULT_PREFILL_TOKENS_PER_SECOND = 20_000;
    private static final int DEFAULT_CACHE_BLOCKS = 2_000;
    private static final long DEFAULT_WEIGHT_MILLIS = 500;
    private static final long DEFAULT_LOAD_LAG_MILLIS = 200;

    /** Applies defaults for missing settings. */
    public FakeTargetSettings {
        accelerators = accelerators == null ? DEFAULT_ACCELERATORS : accelerators;
        checksFencing = checksFencing == null || checksFencing;
        slots = slots == null ? DEFAULT_SLOTS : slots;
        tokensPerSecond = tokensPerSecond == null ? DEFAULT_TOKENS_PER_SECOND : tokensPerSecond;
        prefillTokensPerSecond =
                prefillTokensPerSecond == null ? DEFAULT_PREFILL_TOKENS_PER_SECOND : prefillTokensPerSecond;
        cacheBlocks = cacheBlocks == null ? DEFAULT_CACHE_BLOCKS : cacheBlocks;
        weightMillis = weightMillis == null ? DEFAULT_WEIGHT_MILLIS : weightMillis;
        loadLagMillis = loadLagMillis == null ? DEFAULT_LOAD_LAG_MILLIS : loadLagMillis;
        serviceMillis = serviceMillis == null ? 0 : serviceMillis;
    }
}
