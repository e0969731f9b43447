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
 * Knows to which targets this instance may send nothing: those that back off, those that are draining, and those with a rate limit for
 * which there is no permit. All ways to a target ask here, with no exception for the case that there is no other target.
 *
 * <p>What is known belongs to one start of a target. Draining is final: no announcement takes it back, whichever is the later one,
 * since a target that drains ends. Safe for all threads.
 */
public final class TargetAvailability {

    private static final Logger LOG = Logger.getLogger(TargetAvailability.class);
    /** The time of a request that is not known; it is before all others. */
    private static final long UNKNOWN_TIME = Long.MIN_VALUE / 2;
    /** What is remembered at most; the oldest goes first. A fleet has a few hundred targets. */
    private static final int MOST_REMEMBERED = 4_096;
    /** Fractions of a millisecond that the clock does not show. */
    private static final long ROUNDING_MILLIS = 1;
    /** The shortest time between two lines about what was not understood, in milliseconds. */
    private static final long UNREAD_LINE_MILLIS = 1_000;

    private final Ticker ticker;
    private final RateLimiter limiter;
    private final Map<InstanceId, TargetCondition> conditions = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<InstanceId, TargetCondition> eldest) {
            return size() > MOST_REMEMBERED;
        }
    };
    private long unread;
    private long unreadLineAt = Long.MIN_VALUE / 2;

    /**
     * Creates it; all targets are available.
     *
     * @param ticker the clock
     * @param limiter keeps the rate limits that targets name
     */
    public TargetAvailability(Ticker ticker, RateLimiter limiter) {
        this.ticker = ticker;
        this.limiter = limiter;
    }

    /**
     * Takes the head of an answer to a request. A limit holds for as long as such answers name it; one that names what cannot be read
     * leaves the limit as it is.
     *
     * @param target the start of the target that has answered
     * @param notice what the answer says
     * @param askedAt when the request was sent, in milliseconds of the clock
     */
    public void takeAnswer(InstanceId target, TargetNotice notice, long askedAt) {
        take(target, notice, askedAt);
        if (notice.limit() == null && notice.unread() == null) {
            limiter.applyStatement(target, new LimitStatement(null, askedAt, ticker.millis()));
        }
    }

    /**
     * Takes what the head of any other answer says of its target: one to a probe or an order, or one that belongs to another request.
     *
     * @param target the start of the target that was asked
     * @param notice what the answer says
     */
    public void take(InstanceId target, TargetNotice notice) {
        take(target, notice, UNKNOWN_TIME);
    }

    private synchronized void take(InstanceId target, TargetNotice notice, long askedAt) {
        if (notice.unread() != null) {
            noteUnread(target, notice.unread());
        }
        if (notice.isDraining()) {
            TargetCondition c = condition(target);
            if (!c.isDraining()) {
                LOG.infof("targets: %s is draining, nothing more is sent to it", target);
            }
            c.drains();
        }
        if (notice.limit() != null) {
            limiter.applyStatement(target, new LimitStatement(notice.limit(), askedAt, ticker.millis()));
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
        c.backsOff(now + millis + ROUNDING_MILLIS);
    }

    private void noteUnread(InstanceId target, String text) {
        unread++;
        long now = ticker.millis();
        if (now - unreadLineAt >= UNREAD_LINE_MILLIS) {
            unreadLineAt = now;
            LOG.warnf("targets: an answer of %s says what is not understood: %s; %d so far", target, text, unread);
        }
    }

    private TargetCondition condition(InstanceId target) {
        return conditions.computeIfAbsent(target, t -> new TargetCondition());
    }

    /**
     * Says whether a request may be sent to a target now.
     *
     * @param target the start of the target
     * @return true if it may
     */
    public synchronized boolean isAvailable(InstanceId target) {
        TargetCondition c = conditions.get(target);
        boolean available = c == null || c.isAvailable(ticker.millis());
        return available && limiter.hasPermit(target);
    }

    /**
     * Takes the right to send a request to a target now; asked right before it is sent. A rate limit binds all entries together, so a
     * permit comes from the account that divides the limit, and is used up here, where no way to a target leads past.
     *
     * @param target the start of the target
     * @return true if it may be sent
     */
    public synchronized boolean tryRequest(InstanceId target) {
        TargetCondition c = conditions.get(target);
        boolean available = c == null || c.isAvailable(ticker.millis());
        return available && limiter.tryAcquire(target);
    }

    /**
     * Takes the right to send a probe or an order to a target now.
     *
     * @param target the start of the target
     * @return true if it may be sent
     */
    public synchronized boolean tryControl(InstanceId target) {
        return !isBackingOff(target) && limiter.tryAcquire(target);
    }

    /**
     * Says whether a probe may be sent to a target now.
     *
     * @param target the start of the target
     * @return true if it may
     */
    public synchronized boolean mayProbe(InstanceId target) {
        return !isBackingOff(target) && limiter.hasPermit(target);
    }

    /**
     * Says whether a target has named a rate limit.
     *
     * @param target the start of the target
     * @return true if it has
     */
    public boolean isLimited(InstanceId target) {
        return limiter.isLimited(target);
    }

    /**
     * Says whether a target backs off: it is sent neither requests nor probes nor orders.
     *
     * @param target the start of the target
     * @return true as long as the time lasts that it has named to this instance
     */
    public synchronized boolean isBackingOff(InstanceId target) {
        TargetCondition c = conditions.get(target);
        return c != null && c.isBackingOff(ticker.millis());
    }

    /**
     * Says whether a target has said that it drains.
     *
     * @param target the start of the target
     * @return true if it has
     */
    public synchronized boolean isDraining(InstanceId target) {
        TargetCondition c = conditions.get(target);
        return c != null && c.isDraining();
    }

    /**
     * Says for how long a target still backs off.
     *
     * @param target the start of the target
     * @return milliseconds; zero if it does not
     */
    public synchronized long backoffMillis(InstanceId target) {
        TargetCondition c = conditions.get(target);
        return c == null ? 0 : c.backoffMillis(ticker.millis());
    }

    /**
     * Says when a request may be sent to a target.
     *
     * @param target the start of the target
     * @return milliseconds; zero if it may be now, unless the target is draining
     */
    public synchronized long retryMillis(InstanceId target) {
        return Math.max(backoffMillis(target), limiter.retryMillis(target));
    }

    /**
     * Lists the targets that back off or drain, for people.
     *
     * @return the condition of each, by target
     */
    public synchronized Map<String, String> unavailable() {
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
     * Counts the targets that back off.
     *
     * @return how many
     */
    public synchronized int backingOff() {
        long now = ticker.millis();
        return (int)
                conditions.values().stream().filter(c -> c.isBackingOff(now)).count();
    }

    /**
     * Counts the targets that are draining.
     *
     * @return how many are remembered
     */
    public synchronized int draining() {
        return (int)
                conditions.values().stream().filter(TargetCondition::isDraining).count();
    }

    /**
     * Counts the answers that said of their target what is not understood.
     *
     * @return how many
     */
    public synchronized long unread() {
        return unread;
    }
}
