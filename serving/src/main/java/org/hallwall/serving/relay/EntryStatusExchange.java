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
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.core.time.Ticker;
import org.hallwall.serving.reachability.TargetLinks;
import org.hallwall.serving.target.FeedMessage.AvailableEntry;
import org.hallwall.serving.target.FeedMessage.EntryList;
import org.hallwall.serving.target.FeedMessage.EntryStatus;
import org.hallwall.wire.PeerException;
import org.hallwall.wire.PeerLink;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Reports the status of this entry to the control instance that controls the groups, and requests the entries to which
 * requests can be forwarded. Used on the I/O thread.
 */
final class EntryStatusExchange implements Closeable {

    private static final Logger LOG = Logger.getLogger(EntryStatusExchange.class);

    /** Interval between reports, in milliseconds. A change is reported at once. */
    private static final long REPORT_INTERVAL_MILLIS = 2_000;

    /** Interval between reports during a partition, in milliseconds. */
    private static final long PARTITION_INTERVAL_MILLIS = 200;

    /** Reports after which the available entries are requested although they are not needed. */
    private static final int REPORTS_PER_REQUEST = 5;

    /** Maximum age of the available entries, in milliseconds; outlasts the election of another control instance. */
    private static final long MAX_AGE_MILLIS = 15_000;

    private static final Duration TIMEOUT = Duration.ofMillis(400);

    private final EventLoop loop;
    private final String failureDomain;
    private final NetAddress forwarding;
    private final TargetLinks links;
    private final BooleanSupplier ready;
    private final Supplier<Collection<PeerLink>> controllers;
    private final Ticker ticker;
    private List<AvailableEntry> entries = List.of();
    private long updatedAt;
    private long reports;
    private ScheduledFuture<?> timer;
    private boolean closed;

    EntryStatusExchange(
            EventLoop loop,
            EntryNodeSettings settings,
            TargetLinks links,
            BooleanSupplier ready,
            Supplier<Collection<PeerLink>> controllers,
            Ticker ticker) {
        this.loop = loop;
        this.failureDomain = settings.failureDomain();
        this.forwarding = settings.forwarding();
        this.links = links;
        this.ready = ready;
        this.controllers = controllers;
        this.ticker = ticker;
    }

    void start() {
        loop.execute(this::report);
    }

    /** Returns the entries to which requests can be forwarded. */
    List<AvailableEntry> availableEntries() {
        return ticker.millis() - updatedAt <= MAX_AGE_MILLIS ? entries : List.of();
    }

    /** Reports the current status now, and periodically afterwards. */
    void report() {
        if (closed) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
        }
        boolean partitioned = links.detector().isPartitioned();
        long interval = partitioned ? PARTITION_INTERVAL_MILLIS : REPORT_INTERVAL_MILLIS;
        timer = loop.schedule(this::report, interval, TimeUnit.MILLISECONDS);
        boolean wantsEntries = partitioned || entries.isEmpty() || reports % REPORTS_PER_REQUEST == 0;
        reports++;
        EntryStatus status = new EntryStatus(
                failureDomain,
                forwarding,
                ready.getAsBoolean() && !partitioned,
                links.reachability().unreachableCount(),
                wantsEntries);
        Flux.fromIterable(controllers.get())
                .flatMap(l -> send(l, status))
                .next()
                .subscribe(
                        answer -> loop.execute(() -> applyEntries(status, answer)),
                        e -> LOG.errorf(e, "entries: the exchange failed"));
    }

    /** Sends the status; empty if the control instance does not control the groups. */
    private static Mono<EntryList> send(PeerLink link, EntryStatus status) {
        return link.call(status, TIMEOUT)
                .ofType(EntryList.class)
                .filter(EntryList::controls)
                .onErrorResume(PeerException.class, e -> {
                    LOG.debugf("entries: no response, %s", e.getMessage());
                    return Mono.empty();
                });
    }

    /** A control instance that has just taken over has no list of entries yet; the previous list is kept for a while. */
    private void applyEntries(EntryStatus status, EntryList answer) {
        if (status.wantsEntries() && !answer.entries().isEmpty()) {
            entries = answer.entries();
            updatedAt = ticker.millis();
        }
    }

    @Override
    public void close() {
        closed = true;
    }
}
