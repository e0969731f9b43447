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

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import org.hallwall.core.settings.NetAddress;

/**
 * Settings of a load experiment: offered load and injected faults. The tested processes are started separately.
 *
 * @param name the name of the experiment and of its report files
 * @param entries the entry addresses, used round-robin
 * @param engines the fake engines whose records are checked for duplicate runs
 * @param direct whether requests bypass the entries
 * @param key the API key of the workspace
 * @param model the requested model
 * @param requestsPerSecond the arrival rate (open loop)
 * @param seconds the duration of the measurement
 * @param warmupSeconds the duration of the warm-up, whose requests are not counted
 * @param seed the random seed
 * @param prefixes the number of distinct prompt prefixes
 * @param prefixChars the length of the prefixes
 * @param tokens the number of output tokens per request
 * @param streamedShare the fraction of streamed requests
 * @param keyedShare the fraction of requests with an idempotency key, which are marked as not repeatable
 * @param highShare the fraction of high-priority requests
 * @param lowShare the fraction of low-priority requests
 * @param deadlineMillis the deadline of requests
 * @param faults the faults to inject
 */
public record LoadExperiment(
        String name,
        List<NetAddress> entries,
        List<NetAddress> engines,
        boolean direct,
        String key,
        String model,
        double requestsPerSecond,
        int seconds,
        int warmupSeconds,
        long seed,
        Integer prefixes,
        int prefixChars,
        Integer tokens,
        Double streamedShare,
        double keyedShare,
        double highShare,
        double lowShare,
        Long deadlineMillis,
        List<Fault> faults) {

    private static final int DEFAULT_TOKENS = 32;
    private static final long DEFAULT_DEADLINE_MILLIS = 30_000;

    /** Applies defaults for missing settings. */
    public LoadExperiment {
        engines = engines == null ? List.of() : List.copyOf(engines);
        prefixes = prefixes == null ? 1 : prefixes;
        tokens = tokens == null ? DEFAULT_TOKENS : tokens;
        streamedShare = streamedShare == null ? 1 : streamedShare;
        deadlineMillis = deadlineMillis == null ? DEFAULT_DEADLINE_MILLIS : deadlineMillis;
        faults = faults == null ? List.of() : List.copyOf(faults);
    }

    /**
     * A fault to inject.
     *
     * @param atMillis the time of injection, relative to the end of the warm-up
     * @param engine the fake engine
     * @param change the faults to change, as for {@code /fake/faults}
     */
    public record Fault(
            long atMillis,
            NetAddress engine,
            @JsonProperty("switch") JsonNode change) {}
}
