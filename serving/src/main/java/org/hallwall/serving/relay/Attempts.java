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

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.serving.crash.RequestDigest;
import org.jboss.logging.Logger;

/** Tracks the attempts of one request and decides whether it is retried. */
final class Attempts {

    private static final Logger LOG = Logger.getLogger(Attempts.class);
    /** Maximum number of attempts that targets may reject, without running them, before the request fails. */
    private static final int MAX_REJECTIONS = 3;

    private final RelayContext context;
    private final RelayRequest request;
    private final Set<InstanceId> triedTargets = new HashSet<>();
    private final Set<InstanceId> disconnectedBy = new HashSet<>();
    private Verdict verdict = Verdict.NOT_RUN;
    private int runCount;
    private int rejections;
    private int sendCount;
    private RequestDigest digest;

    Attempts(RelayContext context, RelayRequest request) {
        this.context = context;
        this.request = request;
        this.digest = request.digest();
    }

    /** Selects an untried target and records the attempt; returns null if none is left. */
    ServingTarget nextTarget() {
        ServingTarget target = chooseTarget();
        if (target != null) {
            triedTargets.add(target.instance());
            context.metrics().countSend(request.service(), sendCount > 0);
            sendCount++;
        }
        return target;
    }

    /**
     * Selects an untried target; returns null if none is left. Targets with a rate limit are preferred, since an unused
     * permit expires soon.
     */
    ServingTarget chooseTarget() {
        List<ServingTarget> candidates = context.candidates().available(request);
        ServingTarget permitted =
                context.balancer().chooseWithFreeSlot(context.candidates().withRateLimit(candidates), triedTargets);
        return permitted != null ? permitted : context.balancer().choose(candidates, triedTargets);
    }

    /** Returns whether the request may run again after the current attempt. */
    boolean mayRetry() {
        return request.route().isRetryable() && runCount + 1 < request.route().maxAttempts();
    }

    Verdict verdict() {
        return verdict;
    }

    int runCount() {
        return runCount;
    }

    int rejections() {
        return rejections;
    }

    /** Records that the current attempt was aborted without a response. */
    void abandon(ServingTarget target) {
        verdict = verdict.combineWith(Verdict.MAY_HAVE_RUN);
        markAbandoned(target);
    }

    /** Records that the current attempt was abandoned while the target may still run it. */
    void markAbandoned(ServingTarget target) {
        context.crashWatch().recordAbandoned(target.instance(), digest());
    }

    /** Records that the target of the current attempt has responded. */
    void markAnswered() {
        context.crashWatch().recordAnswer(digest());
    }

    /** Computes the digest on first use; null until the key is known. */
    private RequestDigest digest() {
        if (digest == null && context.crashWatch().digester() != null) {
            digest = request.computeDigest(context.crashWatch().digester(), context.headerNames());
        }
        return digest;
    }

    /**
     * Records a failed attempt and decides whether the request is retried.
     *
     * @param target the target
     * @param f the failure
     * @param events the number of events received before
     * @param charged whether the retry was already charged to the budget
     * @return the decision
     */
    RetryDecision recordFailure(ServingTarget target, AttemptFailure f, long events, boolean charged) {
        context.metrics().countAttempt(f.verdict().name());
        if (f.verdict() != Verdict.NOT_RUN) {
            runCount++;
        } else if (f.kind() != AttemptFailure.Kind.UNAVAILABLE) {
            rejections++;
        }
        updateTargetState(context.balancer().state(target), target, f);
        updateCrashWatch(target, f);
        verdict = verdict.combineWith(f.verdict());
        RetryDecision decision = decide(f, charged);
        context.metrics().countRetryDecision(request.service(), decision);
        LOG.infof(
                "request %s: attempt at %s of %s failed after %d ms and %d events, %s: %s; %s (%s); attempt %d of %s",
                request.attemptId(),
                target.instance(),
                target.group() == null ? "-" : target.group().name(),
                context.now() - request.receivedAt(),
                events,
                f.verdict(),
                f.getMessage(),
                decision,
                context.retryBudget().describe(request.service()),
                sendCount,
                digest());
        return decision;
    }

    private void updateTargetState(TargetState state, ServingTarget target, AttemptFailure f) {
        if (f.isMisdirected()) {
            state.markDisplaced(target, context.now());
        } else if (f.verdict() != Verdict.NOT_RUN || f.isUnreachable()) {
            state.recordFailure(context.now());
        }
    }

    private void updateCrashWatch(ServingTarget target, AttemptFailure f) {
        switch (f.kind()) {
            case CONNECTION_REFUSED:
                context.crashWatch().recordCrash(target.instance());
                break;
            case CONNECTION_LOST:
                disconnectedBy.add(target.instance());
                context.crashWatch().recordDisconnect(target.instance(), digest());
                break;
            case ABANDONED:
                markAbandoned(target);
                break;
            default:
                // not sent, or the target has responded
                break;
        }
    }

    private RetryDecision decide(AttemptFailure f, boolean charged) {
        boolean allowed = f.verdict() == Verdict.NOT_RUN
                ? rejections <= MAX_REJECTIONS
                : request.route().isRetryable() && runCount < request.route().maxAttempts();
        if (!allowed) {
            return RetryDecision.NOT_ALLOWED;
        }
        if (context.crashWatch().isWatching() && context.crashWatch().isHeld(digest(), disconnectedBy)) {
            return RetryDecision.HELD_BACK;
        }
        if (charged) {
            return RetryDecision.GRANTED;
        }
        if (!f.hasReachedTarget()) {
            return RetryDecision.UNCHARGED;
        }
        return context.retryBudget().tryRetry(request.service()) ? RetryDecision.GRANTED : RetryDecision.REFUSED;
    }
}
