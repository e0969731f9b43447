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
package org.hallwall.serving.availability;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.serving.permit.LimitStatement;
import org.hallwall.serving.permit.RateLimiter;
import org.jboss.logging.Logger;

/**
 * Tracks which targets may be sent requests: a target is unavailable while it backs off, drains, or has a rate limit without a free
 * permit. Every sender checks this class, even if there is no other target.
 *
 * <p>The state belongs to one start of a target. Draining is final for that start, whatever later announcements say. Thread-safe.
 */
public final class TargetAvailability {

    private static final Logger LOG = Logger.getLogger(TargetAvailability.class);
    /** An unknown request time, earlier than any other. */
    private static final long UNKNOWN_TIME = Long.MIN_VALUE / 2;
    /** Maximum number of targets; the oldest one is evicted. */
    private static final int MAX_TARGETS = 4_096;
    /** Compensates for the resolution of the clock. */
    private static final long ROUNDING_MILLIS = 1;
    /** The minimum interval between log lines about malformed notices. */
    private static final long MALFORMED_LOG_INTERVAL_MILLIS = 1_000;

    private final Ticker ticker;
    private final RateLimiter limiter;
    private final Map<InstanceId, TargetCondition> conditions = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<InstanceId, TargetCondition> eldest) {
            return size() > MAX_TARGETS;
        }
    };
    private long malformedNotices;
    private long malformedLoggedAt = Long.MIN_VALUE / 2;

    /**
     * Creates it with all targets available.
     *
     * @param ticker the clock
     * @param limiter enforces the rate limits of targets
     */
    public TargetAvailability(Ticker ticker, RateLimiter limiter) {
        this.ticker = ticker;
        this.limiter = limiter;
    }

    /**
     * Applies the response to a request. A response without a limit ends the target's limit; a malformed one leaves it unchanged.
     *
     * @param target the start of the target that has answered
     * @param notice the notice of the response
     * @param requestedAt the ticker time at which the request was sent
     */
    public void applyResponse(InstanceId target, TargetNotice notice, long requestedAt) {
        applyNotice(target, notice, requestedAt);
        if (notice.limit() == null && notice.malformed() == null) {
            limiter.applyStatement(target, new LimitStatement(null, requestedAt, ticker.millis()));
        }
    }

    /**
     * Applies the notice of any other response, such as one to a probe or an order.
     *
     * @param target the target's start
     * @param notice the notice of the response
     */
    public void applyNotice(InstanceId target, TargetNotice notice) {
        applyNotice(target, notice, UNKNOWN_TIME);
    }

    private synchronized void applyNotice(InstanceId target, TargetNotice notice, long requestedAt) {
        if (notice.malformed() != null) {
            recordMalformed(target, notice.malformed());
        }
        if (notice.isDraining()) {
            TargetCondition c = condition(target);
            if (!c.isDraining()) {
                LOG.infof("targets: %s is draining, nothing more is sent to it", target);
            }
            c.markDraining();
        }
        if (notice.limit() != null) {
            limiter.applyStatement(target, new LimitStatement(notice.limit(), requestedAt, ticker.millis()));
        }
        if (notice.backoffMillis() > 0) {
            backOff(target, notice.backoffMillis());
        }
    }

    private void backOff(InstanceId target, long millis) {
        long now = ticker.millis();
        TargetCondition c = condition(target);
        if (!c.isBackingOff(now)) {
            LOG.infof("targets: %s backs off for %d ms", target, millis);
        }
        c.extendBackoff(now + millis + ROUNDING_MILLIS);
    }

    private void recordMalformed(InstanceId target, String text) {
        malformedNotices++;
        long now = ticker.millis();
        if (now - malformedLoggedAt >= MALFORMED_LOG_INTERVAL_MILLIS) {
            malformedLoggedAt = now;
            LOG.warnf("targets: malformed notice in a response of %s: %s; %d so far", target, text, malformedNotices);
        }
    }

    private TargetCondition condition(InstanceId target) {
        return conditions.computeIfAbsent(target, t -> new TargetCondition());
    }

    /**
     * Returns whether a request may be sent to a target now.
     *
     * @param target the target's start
     * @return true if it may be sent
     */
    public synchronized boolean isAvailable(InstanceId target) {
        TargetCondition c = conditions.get(target);
        boolean available = c == null || c.isAvailable(ticker.millis());
        return available && limiter.hasPermit(target);
    }

    /**
     * Checks whether a request may be sent to a target now and uses a permit; called immediately before the request is sent.
     *
     * @param target the target's start
     * @return true if it may be sent
     */
    public synchronized boolean tryAcquireForRequest(InstanceId target) {
        TargetCondition c = conditions.get(target);
        boolean available = c == null || c.isAvailable(ticker.millis());
        return available && limiter.tryAcquire(target);
    }

    /**
     * Checks whether a probe or an order may be sent to a target now and uses a permit.
     *
     * @param target the target's start
     * @return true if it may be sent
     */
    public synchronized boolean tryAcquireForControl(InstanceId target) {
        return !isBackingOff(target) && limiter.tryAcquire(target);
    }

    /**
     * Returns whether a probe may be sent to a target now, without using a permit.
     *
     * @param target the target's start
     * @return true if it may be sent
     */
    public synchronized boolean canProbe(InstanceId target) {
        return !isBackingOff(target) && limiter.hasPermit(target);
    }

    /**
     * Returns whether a target has a rate limit.
     *
     * @param target the target's start
     * @return true if it has a limit
     */
    public boolean isLimited(InstanceId target) {
        return limiter.isLimited(target);
    }

    /**
     * Returns whether a target backs off, during which it is sent no requests, probes or orders.
     *
     * @param target the target's start
     * @return true until the backoff time that it has requested is over
     */
    public synchronized boolean isBackingOff(InstanceId target) {
        TargetCondition c = conditions.get(target);
        return c != null && c.isBackingOff(ticker.millis());
    }

    /**
     * Returns whether a target has declared that it is draining.
     *
     * @param target the target's start
     * @return true if it is draining
     */
    public synchronized boolean isDraining(InstanceId target) {
        TargetCondition c = conditions.get(target);
        return c != null && c.isDraining();
    }

    /**
     * Returns the remaining backoff time of a target.
     *
     * @param target the target's start
     * @return the time in milliseconds; zero if the target does not back off
     */
    public synchronized long backoffMillis(InstanceId target) {
        TargetCondition c = conditions.get(target);
        return c == null ? 0 : c.backoffMillis(ticker.millis());
    }

    /**
     * Returns the time until a request may be sent to a target, regardless of draining.
     *
     * @param target the target's start
     * @return the time in milliseconds; zero if it may be sent now
     */
    public synchronized long retryMillis(InstanceId target) {
        return Math.max(backoffMillis(target), limiter.retryMillis(target));
    }

    /**
     * Describes the targets that back off or drain, for diagnostics.
     *
     * @return the descriptions by target
     */
    public synchronized Map<String, String> describeUnavailable() {
        long now = ticker.millis();
        Map<String, String> out = new TreeMap<>();
        conditions.forEach((target, c) -> {
            if (c.isDraining()) {
                out.put(target.value(), "draining");
            } else if (c.isBackingOff(now)) {
                out.put(target.value(), "backing off for " + c.backoffMillis(now) + " ms");
            }
        });
        return out;
    }

    /**
     * Returns the number of targets that back off.
     *
     * @return the number of targets
     */
    public synchronized int backingOffCount() {
        long now = ticker.millis();
        return (int)
                conditions.values().stream().filter(c -> c.isBackingOff(now)).count();
    }

    /**
     * Returns the number of draining targets.
     *
     * @return the number of targets
     */
    public synchronized int drainingCount() {
        return (int)
                conditions.values().stream().filter(TargetCondition::isDraining).count();
    }

    /**
     * Returns the number of responses with a malformed notice.
     *
     * @return the number of responses
     */
    public synchronized long malformedNotices() {
        return malformedNotices;
    }
}
