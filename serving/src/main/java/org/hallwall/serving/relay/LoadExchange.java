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
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.hallwall.serving.permit.EntryPermits;
import org.hallwall.serving.target.FeedMessage.LoadReport;
import org.hallwall.serving.target.FeedMessage.LoadTotals;
import org.hallwall.wire.PeerException;
import org.hallwall.wire.PeerLink;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Reports the outstanding requests of this entry to the group controller and receives the totals over all entries. Runs
 * on the I/O thread, which owns the counts.
 */
final class LoadExchange implements Closeable {

    private static final Logger LOG = Logger.getLogger(LoadExchange.class);
    /** Interval between reports, in milliseconds; a fraction of the duration of a stream. */
    private static final long TICK_MILLIS = 200;
    /** Number of entries per additional tick between reports; keeps the load of the controller bounded. */
    private static final int ENTRIES_PER_TICK = 40;

    private static final Duration TIMEOUT = Duration.ofMillis(400);

    private final EventLoop loop;
    private final Balancer balancer;
    private final FleetLoad load;
    private final EntryPermits permits;
    private final Supplier<Collection<PeerLink>> links;
    private volatile int entryCount = 1;
    private volatile PeerLink controllerLink;
    private ScheduledFuture<?> timer;
    private long ticks;

    LoadExchange(
            EventLoop loop,
            Balancer balancer,
            FleetLoad load,
            EntryPermits permits,
            Supplier<Collection<PeerLink>> links) {
        this.loop = loop;
        this.balancer = balancer;
        this.load = load;
        this.permits = permits;
        this.links = links;
    }

    void start() {
        timer = loop.scheduleAtFixedRate(
                new GuardedTask("exchange of loads", this::tick), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    void setEntryCount(int count) {
        entryCount = Math.max(1, count);
    }

    private void tick() {
        ticks++;
        if (ticks % (1 + entryCount / ENTRIES_PER_TICK) == 0) {
            exchangeLoad();
        }
    }

    /** Returns the link to the group controller, or all links if the controller is unknown. */
    Collection<PeerLink> controllers() {
        PeerLink known = controllerLink;
        return known == null ? List.copyOf(links.get()) : List.of(known);
    }

    private void exchangeLoad() {
        Map<String, Integer> own = balancer.outstanding();
        Flux.fromIterable(controllers())
                .flatMap(l -> requestSums(l, own))
                .next()
                .subscribe(s -> loop.execute(() -> applySums(own, s)), e -> LOG.errorf(e, "load: the exchange failed"));
    }

    private void applySums(Map<String, Integer> own, LoadTotals totals) {
        load.update(own, totals.running());
        permits.applyReports(totals.limits());
    }

    /** Requests the totals; empty if the control instance is not the group controller. */
    private Mono<LoadTotals> requestSums(PeerLink link, Map<String, Integer> own) {
        return link.call(new LoadReport(own), TIMEOUT)
                .cast(LoadTotals.class)
                .filter(LoadTotals::controls)
                .doOnNext(s -> controllerLink = link)
                .onErrorResume(PeerException.class, e -> {
                    LOG.debugf("load: no totals received, %s", e.getMessage());
                    return Mono.empty();
                })
                .switchIfEmpty(Mono.fromRunnable(() -> clearController(link)));
    }

    private void clearController(PeerLink link) {
        if (link == controllerLink) {
            controllerLink = null;
        }
    }

    @Override
    public void close() {
        if (timer != null) {
            timer.cancel(false);
        }
    }
}
