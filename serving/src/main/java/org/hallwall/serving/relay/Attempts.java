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
import org.jboss.logging.Logger;

/** The attempts of one request: where it was sent, what is known of its runs, and whether it may be sent once more. */
final class Attempts {

    private static final Logger LOG = Logger.getLogger(Attempts.class);
    /** Attempts that targets have turned away before a request is given up; they have not run. */
    private static final int MOST_TURNED_AWAY = 3;

    private final RelayContext context;
    private final RelayRequest request;
    private final Set<InstanceId> tried = new HashSet<>();
    private Verdict verdict = Verdict.NOT_RUN;
    private int ran;
    private int turnedAway;
    private int sends;

    Attempts(RelayContext context, RelayRequest request) {
        this.context = context;
        this.request = request;
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

    /** Chooses a target that the request was not sent to; null if none is left. */
    ServingTarget other() {
        List<ServingTarget> targets = context.state().targets().of(request.service(), request.model());
        return context.balancer().choose(targets, tried);
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
    void abandon() {
        verdict = verdict.and(Verdict.MAY_HAVE_RUN);
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
        if (f.verdict() == Verdict.NOT_RUN) {
            turnedAway++;
        } else {
            ran++;
        }
        noteTarget(context.balancer().state(target), target, f);
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
                request.digest(context.digester(), context.names()));
        return decision;
    }

    private void noteTarget(TargetState state, ServingTarget target, AttemptFailure f) {
        if (f.isMisdirected()) {
            state.displaced(target, context.now());
        } else if (f.verdict() != Verdict.NOT_RUN || !f.hasReached()) {
            state.failed(context.now());
        }
    }

    private Resend decide(AttemptFailure f, boolean charged) {
        boolean allowed = f.verdict() == Verdict.NOT_RUN
                ? turnedAway <= MOST_TURNED_AWAY
                : request.route().mayRepeat() && ran < request.route().attempts();
        if (!allowed) {
            return Resend.NOT_ALLOWED;
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
