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
 * What an experiment loads and breaks. The processes are started outside of it.
 *
 * @param name its name, used for the files of the report
 * @param entries where requests go, in turn
 * @param engines the stand-in engines, whose accounts the answers are checked against
 * @param direct whether requests go straight to the engines
 * @param key the workspace's key
 * @param model the model
 * @param requestsPerSecond the rate of arrivals, whatever the answers do
 * @param seconds how long requests arrive
 * @param warmupSeconds how long requests arrive before any is counted
 * @param seed the seed of all random choices
 * @param prefixes how many different beginnings the prompts have
 * @param prefixChars how long these beginnings are
 * @param tokens how many tokens each answer has
 * @param streamedShare the share of streamed requests
 * @param keyedShare the share of requests with an idempotency key, which are not repeatable
 * @param highShare the share of requests with high priority
 * @param lowShare the share of requests with low priority
 * @param deadlineMillis how long callers wait
 * @param faults what to break, and when
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

    private static final int USUAL_TOKENS = 32;
    private static final long USUAL_DEADLINE_MILLIS = 30_000;

    /** Fills in what the file leaves out. */
    public LoadExperiment {
        engines = engines == null ? List.of() : List.copyOf(engines);
        prefixes = prefixes == null ? 1 : prefixes;
        tokens = tokens == null ? USUAL_TOKENS : tokens;
        streamedShare = streamedShare == null ? 1 : streamedShare;
        deadlineMillis = deadlineMillis == null ? USUAL_DEADLINE_MILLIS : deadlineMillis;
        faults = faults == null ? List.of() : List.copyOf(faults);
    }

    /**
     * A fault.
     *
     * @param atMillis when it is switched, from the first counted arrival
     * @param engine the stand-in engine
     * @param change the fault switches to change
     */
    public record Fault(
            long atMillis,
            NetAddress engine,
            @JsonProperty("switch") JsonNode change) {}
}
