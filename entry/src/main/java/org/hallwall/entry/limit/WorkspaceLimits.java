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
 * Enforces the limits of each workspace on requests and generated tokens per second. Each live entry enforces an equal
 * share.
 */
public final class WorkspaceLimits implements RequestFilter {

    private static final double MIN_CAPACITY = 2;

    private final Ticker ticker;
    private final IntSupplier liveEntries;
    private final Map<WorkspaceId, WorkspaceBuckets> buckets = new ConcurrentHashMap<>();

    /**
     * Creates the limits.
     *
     * @param ticker the clock
     * @param liveEntries the number of live entries, including this one
     */
    public WorkspaceLimits(Ticker ticker, IntSupplier liveEntries) {
        this.ticker = ticker;
        this.liveEntries = liveEntries;
    }

    @Override
    public void apply(Exchange exchange) throws RefusalException {
        WorkspaceSpec spec = exchange.workspaceSpec();
        if (spec.requestsPerSecond() == null && spec.tokensPerSecond() == null) {
            return;
        }
        WorkspaceBuckets workspaceBuckets = buckets.computeIfAbsent(exchange.workspace(), w -> new WorkspaceBuckets());
        workspaceBuckets.acquire(spec, Math.max(1, liveEntries.getAsInt()), ticker.millis());
    }

    /**
     * Charges generated tokens to a workspace.
     *
     * @param workspace the workspace
     * @param tokens the number of generated tokens
     */
    public void chargeTokens(WorkspaceId workspace, int tokens) {
        WorkspaceBuckets workspaceBuckets = buckets.get(workspace);
        if (workspaceBuckets != null) {
            workspaceBuckets.chargeTokens(tokens, ticker.millis());
        }
    }

    /** Token buckets of one workspace; null for each limit that is not set. */
    private static final class WorkspaceBuckets {

        private TokenBucket requests;
        private TokenBucket tokens;

        synchronized void acquire(WorkspaceSpec spec, int liveEntries, long now) throws RefusalException {
            requests = createOrUpdate(requests, spec.requestsPerSecond(), liveEntries, now);
            tokens = createOrUpdate(tokens, spec.tokensPerSecond(), liveEntries, now);
            if (tokens != null && !tokens.isPositive(now)) {
                throw limitExceeded("the workspace is over its limit of tokens", tokens.timeUntilNextToken(now));
            }
            if (requests != null && !requests.tryAcquire(now)) {
                throw limitExceeded("the workspace is over its limit of requests", requests.timeUntilNextToken(now));
            }
        }

        synchronized void chargeTokens(int generated, long now) {
            if (tokens != null) {
                tokens.charge(generated, now);
            }
        }

        private static TokenBucket createOrUpdate(TokenBucket bucket, Double limit, int liveEntries, long now) {
            if (limit == null) {
                return null;
            }
            double share = limit / liveEntries;
            double capacity = Math.max(share, MIN_CAPACITY);
            if (bucket == null) {
                return new TokenBucket(share, capacity, now);
            }
            bucket.setRate(share, capacity, now);
            return bucket;
        }

        private static RefusalException limitExceeded(String detail, Duration retryAfter) {
            return new RefusalException(ProblemType.LIMIT_EXCEEDED, Verdict.NOT_RUN, detail, retryAfter);
        }
    }
}
