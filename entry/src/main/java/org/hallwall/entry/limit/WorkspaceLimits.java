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
package org.hallwall.entry.limit;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;

import org.hallwall.core.id.WorkspaceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.entry.exchange.Exchange;
import org.hallwall.entry.exchange.RequestFilter;
import org.hallwall.resource.WorkspaceSpec;

/**
 * Holds workspaces to their limits of requests and generated tokens a second. Each live entry grants an equal share.
 */
public final class WorkspaceLimits implements RequestFilter {

    private static final double LEAST_BURST = 2;

    private final Ticker ticker;
    private final IntSupplier liveEntries;
    private final Map<WorkspaceId, Buckets> buckets = new ConcurrentHashMap<>();

    /**
     * Creates the limits.
     *
     * @param ticker the clock
     * @param liveEntries how many entries share the limits, this one included
     */
    public WorkspaceLimits(Ticker ticker, IntSupplier liveEntries) {
        this.ticker = ticker;
        this.liveEntries = liveEntries;
    }

    @Override
    public void apply(Exchange x) throws RefusalException {
        WorkspaceSpec spec = x.workspaceSpec();
        if (spec.requestsPerSecond() == null && spec.tokensPerSecond() == null) {
            return;
        }
        Buckets b = buckets.computeIfAbsent(x.workspace(), w -> new Buckets());
        b.check(spec, Math.max(1, liveEntries.getAsInt()), ticker.millis());
    }

    /**
     * Counts generated tokens against the limit of a workspace.
     *
     * @param workspace the workspace
     * @param tokens how many
     */
    public void spent(WorkspaceId workspace, int tokens) {
        Buckets b = buckets.get(workspace);
        if (b != null) {
            b.spend(tokens, ticker.millis());
        }
    }

    /** The buckets of one workspace. */
    private static final class Buckets {

        private TokenBucket requests;
        private TokenBucket tokens;

        synchronized void check(WorkspaceSpec spec, int entries, long now) throws RefusalException {
            requests = adjust(requests, spec.requestsPerSecond(), entries, now);
            tokens = adjust(tokens, spec.tokensPerSecond(), entries, now);
            if (tokens != null && !tokens.isPositive(now)) {
                throw over("the workspace is over its limit of tokens", tokens.untilNext(now));
            }
            if (requests != null && !requests.take(now)) {
                throw over("the workspace is over its limit of requests", requests.untilNext(now));
            }
        }

        synchronized void spend(int used, long now) {
            if (tokens != null) {
                tokens.spend(used, now);
            }
        }

        private static TokenBucket adjust(TokenBucket bucket, Double limit, int entries, long now) {
            if (limit == null) {
                return null;
            }
            double share = limit / entries;
            double most = Math.max(share, LEAST_BURST);
            if (bucket == null) {
                return new TokenBucket(share, most, now);
            }
            bucket.setRate(share, most, now);
            return bucket;
        }

        private static RefusalException over(String detail, Duration wait) {
            return new RefusalException(ProblemType.LIMIT_EXCEEDED, Verdict.NOT_RUN, detail, wait);
        }
    }
}
