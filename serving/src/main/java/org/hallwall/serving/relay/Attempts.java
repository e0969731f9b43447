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

/** The attempts of one request: where it was sent, what is known of its runs, and whether it may be sent once more. */
final class Attempts {

    private static final Logger LOG = Logger.getLogger(Attempts.class);
    /** Attempts that targets have turned away before a request is given up; they have not run. */
    private static final int MOST_TURNED_AWAY = 3;

    private final RelayContext context;
    private final RelayRequest request;
    private final Set<InstanceId> tried = new HashSet<>();
    private final Set<InstanceId> brokenOffBy = new HashSet<>();
    private Verdict verdict = Verdict.NOT_RUN;
    private int ran;
    private int turnedAway;
    private int sends;
    private RequestDigest digest;

    Attempts(RelayContext context, RelayRequest request) {
        this.context = context;
        this.request = request;
        this.digest = request.digest();
    }

    /** Chooses a target that the request was not sent to, and notes that it is; null if none is left. */
    ServingTarget next() {
        ServingTarget target = other();
        if (target != null) {
            tried.add(target.instance());
            context.counters().send(request.service(), sends > 0);
            sends++;
        }
        return target;
    }

    /**
     * Chooses a target that the request was not sent to; null if none is left. A permit for a target with a rate limit lapses if it is
     * not used soon, so such targets come first; no more permits are asked for than their share of the requests.
     */
    ServingTarget other() {
        List<ServingTarget> candidates = context.candidates().of(request);
        ServingTarget permitted =
                context.balancer().chooseWithRoom(context.candidates().limited(candidates), tried);
        return permitted != null ? permitted : context.balancer().choose(candidates, tried);
    }

    /** Says whether the request may run once more after the attempt in progress. */
    boolean mayRunAgain() {
        return request.route().mayRepeat() && ran + 1 < request.route().attempts();
    }

    Verdict verdict() {
        return verdict;
    }

    int ran() {
        return ran;
    }

    int turnedAway() {
        return turnedAway;
    }

    /** Notes that the attempt in progress is given up with no answer. */
    void abandon(ServingTarget target) {
        verdict = verdict.and(Verdict.MAY_HAVE_RUN);
        left(target);
    }

    /** Notes that the attempt in progress is over here while its target may still run it. */
    void left(ServingTarget target) {
        context.crashes().left(target.instance(), digest());
    }

    /** Notes that the target of the attempt in progress has answered and lives. */
    void survived() {
        context.crashes().survived(digest());
    }

    /** Digests the request when it is first needed; null as long as the key is not known. */
    private RequestDigest digest() {
        if (digest == null && context.crashes().digester() != null) {
            digest = request.digestBy(context.crashes().digester(), context.names());
        }
        return digest;
    }

    /**
     * Notes that an attempt has failed and decides what becomes of the request.
     *
     * @param target where it failed
     * @param f how
     * @param events how many events had come before
     * @param charged whether the budget has paid for the next attempt already
     * @return the decision
     */
    Resend failed(ServingTarget target, AttemptFailure f, long events, boolean charged) {
        context.counters().attempt(f.verdict().name());
        if (f.verdict() != Verdict.NOT_RUN) {
            ran++;
        } else if (f.kind() != AttemptFailure.Kind.UNAVAILABLE) {
            turnedAway++;
        }
        noteTarget(context.balancer().state(target), target, f);
        noteCrash(target, f);
        verdict = verdict.and(f.verdict());
        Resend decision = decide(f, charged);
        context.counters().resend(request.service(), decision);
        LOG.infof(
                "request %s: attempt at %s of %s failed after %d ms and %d events, %s: %s; it %s (%s); attempt %d of %s",
                request.attemptId(),
                target.instance(),
                target.group() == null ? "-" : target.group().name(),
                context.now() - request.receivedAt(),
                events,
                f.verdict(),
                f.getMessage(),
                decision,
                context.budget().describe(request.service()),
                sends,
                digest());
        return decision;
    }

    private void noteTarget(TargetState state, ServingTarget target, AttemptFailure f) {
        if (f.isMisdirected()) {
            state.displaced(target, context.now());
        } else if (f.verdict() != Verdict.NOT_RUN || f.isUnreachable()) {
            state.failed(context.now());
        }
    }

    private void noteCrash(ServingTarget target, AttemptFailure f) {
        switch (f.kind()) {
            case NOBODY_THERE:
                context.crashes().gone(target.instance());
                break;
            case BROKEN_OFF:
                brokenOffBy.add(target.instance());
                context.crashes().cut(target.instance(), digest());
                break;
            case LEFT:
                left(target);
                break;
            default:
                // it was not sent, or a target that lives has answered
                break;
        }
    }

    private Resend decide(AttemptFailure f, boolean charged) {
        boolean allowed = f.verdict() == Verdict.NOT_RUN
                ? turnedAway <= MOST_TURNED_AWAY
                : request.route().mayRepeat() && ran < request.route().attempts();
        if (!allowed) {
            return Resend.NOT_ALLOWED;
        }
        if (context.crashes().isWatching() && context.crashes().isHeld(digest(), brokenOffBy)) {
            return Resend.HELD_BACK;
        }
        if (charged) {
            return Resend.GRANTED;
        }
        if (!f.hasReached()) {
            return Resend.UNCHARGED;
        }
        return context.budget().tryRetry(request.service()) ? Resend.GRANTED : Resend.REFUSED;
    }
}
