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

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import org.hallwall.core.time.Ticker;
import org.hallwall.serving.target.FeedMessage.StalledHead;
import org.hallwall.serving.target.GroupLiveness;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/**
 * Distinguishes heads whose group has lost a member from heads that are busy with a long pass. Both are silent, but
 * moving a stream away from a busy head repeats the prompt. Confined to the I/O thread.
 */
public final class StalledHeads {

    private static final Logger LOG = Logger.getLogger(StalledHeads.class);
    /**
     * Timeout of a query to the controller, in milliseconds; covers three network hops, two new connections and
     * scheduling delays.
     */
    private static final long ANSWER_TIMEOUT_MILLIS = 60;
    /** Stall timeouts after which a busy head counts as lost; one and a half times the maximum pause. */
    private static final double WORKING_TIMEOUT_FACTOR = 4.5;
    /** Stall timeouts after which a head of unknown liveness counts as lost. */
    private static final double UNKNOWN_TIMEOUT_FACTOR = 2;
    /** Stall timeouts before another query about a head that was recently found busy. */
    private static final double REPEATED_QUERY_FACTOR = 1.6;
    /** Time for which a head counts as recently found busy, in milliseconds. */
    private static final long RECENT_ANSWER_MILLIS = 1_000;
    /** Minimum interval between reports of an unreachable head, in milliseconds. */
    private static final long MIN_REPORT_INTERVAL_MILLIS = 300;
    /** Retention time of queries, in milliseconds; longer than any silence. */
    private static final long QUERY_RETENTION_MILLIS = 10_000;

    private final Function<StalledHead, Mono<GroupLiveness>> queryController;
    private final BooleanSupplier controllerReachable;
    private final Ticker ticker;
    private final Map<String, Query> queries = new HashMap<>();

    /**
     * Creates the detector.
     *
     * @param queryController queries the group controller; never fails
     * @param controllerReachable whether the group controller is reachable
     * @param ticker the clock
     */
    public StalledHeads(
            Function<StalledHead, Mono<GroupLiveness>> queryController,
            BooleanSupplier controllerReachable,
            Ticker ticker) {
        this.queryController = queryController;
        this.controllerReachable = controllerReachable;
        this.ticker = ticker;
    }

    /**
     * Returns whether a silent head is likely lost, so that its streams should also be sent to another one. The first call of a silence queries the
     * controller.
     *
     * @param head the head
     * @param silentSince the time of the last event
     * @param stallTimeoutMillis the silence after which the controller is queried
     * @return true if the group has lost a member, or if the head is silent for too long
     */
    boolean isLikelyLost(StalledHead head, long silentSince, long stallTimeoutMillis) {
        long now = ticker.millis();
        long silence = now - silentSince;
        Query q = queries.get(head.group());
        if (q == null || q.sentAt <= silentSince) {
            boolean recentlyWorking =
                    q != null && q.answer == GroupLiveness.WORKING && now - q.sentAt < RECENT_ANSWER_MILLIS;
            if (silence > stallTimeoutMillis * (recentlyWorking ? REPEATED_QUERY_FACTOR : 1)) {
                sendQuery(head, now);
            }
            return false;
        }
        switch (q.answer) {
            case WORKING:
                return silence > stallTimeoutMillis * WORKING_TIMEOUT_FACTOR;
            case LOST:
                return true;
            default:
                boolean overdue =
                        !q.answered && controllerReachable.getAsBoolean() && now - q.sentAt >= ANSWER_TIMEOUT_MILLIS;
                return overdue || silence > stallTimeoutMillis * UNKNOWN_TIMEOUT_FACTOR;
        }
    }

    /** Returns whether the controller has reported that the group of a silent head has lost a member. */
    boolean isKnownLost(StalledHead head, long silentSince) {
        Query q = queries.get(head.group());
        return q != null && q.sentAt > silentSince && q.answer == GroupLiveness.LOST;
    }

    /** Returns what the controller has reported about a head, for logs. */
    String describe(StalledHead head) {
        Query q = queries.get(head.group());
        if (q == null) {
            return "the controller was not queried";
        }
        return q.answered ? "the controller reports " + q.answer : "the controller has not responded";
    }

    /**
     * Reports an unreachable head without waiting for the response.
     *
     * @param head the head
     */
    void reportUnreachable(StalledHead head) {
        long now = ticker.millis();
        Query q = queries.get(head.group());
        if (q == null || now - q.sentAt >= MIN_REPORT_INTERVAL_MILLIS) {
            sendQuery(head, now);
        }
    }

    private void sendQuery(StalledHead head, long now) {
        queries.values().removeIf(q -> now - q.sentAt > QUERY_RETENTION_MILLIS);
        Query q = new Query(now);
        queries.put(head.group(), q);
        queryController.apply(head).defaultIfEmpty(GroupLiveness.UNKNOWN).subscribe(answer -> {
            LOG.infof(
                    "head %s of %s has stalled, the controller reports %s after %d ms",
                    head.head(), head.group(), answer, ticker.millis() - now);
            q.answer = answer;
            q.answered = true;
        });
    }

    /** A query to the controller; the response is set by another thread. */
    private static final class Query {

        private final long sentAt;
        private volatile GroupLiveness answer = GroupLiveness.UNKNOWN;
        private volatile boolean answered;

        Query(long sentAt) {
            this.sentAt = sentAt;
        }
    }
}
