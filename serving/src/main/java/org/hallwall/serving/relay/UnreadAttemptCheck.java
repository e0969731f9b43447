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

import java.net.SocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.serving.reachability.ConnectResult;
import reactor.core.publisher.Mono;

/**
 * Discards abandoned attempts at recipients that have ended without closing their connections, for example while they were cut off. Ended
 * recipients refuse connections. One that does not respond may be stopped, with a full queue of connections. Confined to the I/O thread.
 */
final class UnreadAttemptCheck {

    /** Interval of {@link #tick()}, in milliseconds. */
    static final long INTERVAL_MILLIS = 1_000;

    /** Age of the oldest attempt at the first check of its recipient, in milliseconds. */
    private static final long MIN_AGE_MILLIS = 3_000;

    /** Time between the checks of a recipient, in milliseconds; doubles from the minimum with each of them. */
    private static final long MAX_PAUSE_MILLIS = 30_000;

    /** Age at which attempts are discarded anyway, in milliseconds: a recipient that has lost its power never closes its connections. */
    static final long MAX_AGE_MILLIS = 600_000;

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final List<Balancer> recipients;
    private final BiFunction<SocketAddress, Duration, Mono<ConnectResult>> connector;
    private final Ticker ticker;
    private final Map<InstanceId, Schedule> schedules = new HashMap<>();

    /**
     * Creates a check.
     *
     * @param recipients the balancers that know where attempts were abandoned
     * @param connector opens a connection and closes it; the results are emitted on the I/O thread
     * @param ticker the clock
     */
    UnreadAttemptCheck(
            List<Balancer> recipients,
            BiFunction<SocketAddress, Duration, Mono<ConnectResult>> connector,
            Ticker ticker) {
        this.recipients = recipients;
        this.connector = connector;
        this.ticker = ticker;
    }

    /** Starts the checks that are due. */
    void tick() {
        Set<InstanceId> waiting = new HashSet<>();
        for (Balancer b : recipients) {
            Map<InstanceId, TargetState> states = b.unreadStates();
            states.forEach(this::check);
            waiting.addAll(states.keySet());
        }
        schedules.keySet().retainAll(waiting);
    }

    private void check(InstanceId id, TargetState state) {
        long now = ticker.millis();
        long age = state.unreadAttempts(now).oldestMillis();
        if (age >= MAX_AGE_MILLIS) {
            discard(id, state, "they are too old");
            return;
        }
        Schedule schedule = schedules.computeIfAbsent(id, i -> new Schedule());
        if (age >= MIN_AGE_MILLIS && !schedule.running && now >= schedule.nextAt) {
            schedule.running = true;
            connector.apply(state.unreadPeer(), CONNECT_TIMEOUT).subscribe(r -> onResult(id, state, schedule, r));
        }
    }

    private void onResult(InstanceId id, TargetState state, Schedule schedule, ConnectResult result) {
        schedule.running = false;
        schedule.nextAt = ticker.millis() + schedule.pauseMillis;
        schedule.pauseMillis = Math.min(MAX_PAUSE_MILLIS, 2 * schedule.pauseMillis);
        if (result == ConnectResult.REFUSED) {
            discard(id, state, "it refuses connections");
        }
    }

    private void discard(InstanceId id, TargetState state, String reason) {
        state.unreadAttempts(ticker.millis()).logSettled(id, reason);
        state.abortUnread();
    }

    /** When a recipient is checked next. */
    private static final class Schedule {

        private boolean running;
        private long nextAt;
        private long pauseMillis = MIN_AGE_MILLIS;
    }
}
