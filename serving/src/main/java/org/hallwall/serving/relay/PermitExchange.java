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

import java.io.Closeable;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.hallwall.core.time.Ticker;
import org.hallwall.serving.permit.EntryPermits;
import org.hallwall.serving.permit.PermitDemand;
import org.hallwall.serving.target.FeedMessage.PermitRequest;
import org.hallwall.serving.target.FeedMessage.Permits;
import org.hallwall.wire.PeerException;
import org.hallwall.wire.PeerLink;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Requests permits from the group controller, one call at a time, while there are requests for targets with a rate
 * limit. Runs on the I/O thread.
 */
final class PermitExchange implements Closeable {

    private static final Logger LOG = Logger.getLogger(PermitExchange.class);
    /** Minimum interval between calls, in milliseconds; demand in between is batched. */
    private static final long MIN_INTERVAL_MILLIS = 50;

    /** Minimum interval after a call without a response, in milliseconds. */
    private static final long MIN_INTERVAL_AFTER_FAILURE_MILLIS = 200;

    private static final Duration TIMEOUT = Duration.ofMillis(400);

    private final EventLoop loop;
    private final EntryPermits permits;
    private final Supplier<Collection<PeerLink>> controllers;
    private final Ticker ticker;
    private ScheduledFuture<?> scheduledCall;
    private long scheduledAt;
    private boolean callInProgress;
    private boolean closed;
    private long notBefore;

    PermitExchange(EventLoop loop, EntryPermits permits, Supplier<Collection<PeerLink>> controllers, Ticker ticker) {
        this.loop = loop;
        this.permits = permits;
        this.controllers = controllers;
        this.ticker = ticker;
        this.notBefore = ticker.millis();
    }

    /** Schedules the next call if permits are needed. Thread-safe. */
    void trigger() {
        if (loop.inEventLoop()) {
            scheduleNext();
        } else {
            loop.execute(this::scheduleNext);
        }
    }

    private void scheduleNext() {
        long due = permits.millisUntilDue();
        if (callInProgress || closed || due < 0) {
            return;
        }
        long now = ticker.millis();
        long at = Math.max(now + due, notBefore);
        if (scheduledCall != null && scheduledAt <= at) {
            return;
        }
        if (scheduledCall != null) {
            scheduledCall.cancel(false);
        }
        scheduledAt = at;
        scheduledCall = loop.schedule(this::sendRequest, at - now, TimeUnit.MILLISECONDS);
    }

    private void sendRequest() {
        scheduledCall = null;
        long now = ticker.millis();
        List<PermitDemand> asks = permits.dueRequests();
        if (asks.isEmpty() || closed) {
            scheduleNext();
            return;
        }
        callInProgress = true;
        notBefore = now + MIN_INTERVAL_AFTER_FAILURE_MILLIS;
        Flux.fromIterable(controllers.get())
                .flatMap(l -> requestPermits(l, asks))
                .next()
                .doFinally(s -> loop.execute(this::callCompleted))
                .subscribe(
                        p -> loop.execute(() -> applyPermits(p, now)),
                        e -> LOG.errorf(e, "permits: the exchange failed"));
    }

    /** Requests grants; empty if the control instance is not the group controller. */
    private static Mono<Permits> requestPermits(PeerLink link, List<PermitDemand> asks) {
        return link.call(new PermitRequest(asks), TIMEOUT)
                .cast(Permits.class)
                .filter(Permits::controls)
                .onErrorResume(PeerException.class, e -> {
                    LOG.debugf("permits: no response, %s", e.getMessage());
                    return Mono.empty();
                });
    }

    private void applyPermits(Permits response, long sentAt) {
        notBefore = sentAt + MIN_INTERVAL_MILLIS;
        permits.applyGrants(response.grants(), sentAt);
    }

    private void callCompleted() {
        callInProgress = false;
        scheduleNext();
    }

    @Override
    public void close() {
        closed = true;
    }
}
