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
package org.hallwall.entry.peer;

import java.io.Closeable;
import java.time.Duration;
import java.util.List;

import org.hallwall.core.time.Ticker;
import org.hallwall.resource.DeclarationCache;
import org.hallwall.resource.ResourceMessage.Changes;
import org.hallwall.resource.ResourceMessage.Watch;
import org.hallwall.wire.PeerLink;
import org.jboss.logging.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/**
 * Watches the declarations at a voter and updates the cache. Switches to the next voter if one fails or is behind, and
 * alternates with the entries of the failure domain while no voter replies and the cache is empty.
 */
public final class DeclarationFollower implements Closeable {

    private static final Logger LOG = Logger.getLogger(DeclarationFollower.class);
    private static final long LONG_POLL_MILLIS = 3_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);
    private static final long STALE_AFTER_MILLIS = 8_000;

    private final DeclarationCache cache;
    private final List<PeerLink> voters;
    private final List<PeerLink> entries;
    private final Ticker ticker;
    private volatile long lastVoterReplyAt = Long.MIN_VALUE;
    private int sourceIndex;
    private Disposable loop;

    /**
     * Creates the follower; call {@link #start()} to run it.
     *
     * @param cache the cache to update
     * @param voters the links to the voters
     * @param entries the links to the other entries of the failure domain
     * @param first the index of the voter to watch first
     * @param ticker the monotonic clock
     */
    public DeclarationFollower(
            DeclarationCache cache, List<PeerLink> voters, List<PeerLink> entries, int first, Ticker ticker) {
        this.cache = cache;
        this.voters = voters;
        this.entries = entries;
        this.sourceIndex = first;
        this.ticker = ticker;
    }

    /** Starts to watch the declarations. */
    public void start() {
        loop = Mono.defer(this::watchOnce)
                .onErrorResume(e -> {
                    LOG.warnf("entry: watching the declarations failed, %s", e.getMessage());
                    return Mono.delay(RETRY_DELAY).then();
                })
                .repeat()
                .subscribe();
    }

    /**
     * Returns whether the declarations may be stale.
     *
     * @return true if no voter that is up to date replied within the last seconds
     */
    public boolean isStale() {
        long lastReplyAt = lastVoterReplyAt;
        return lastReplyAt == Long.MIN_VALUE || ticker.millis() - lastReplyAt > STALE_AFTER_MILLIS;
    }

    @Override
    public void close() {
        if (loop != null) {
            loop.dispose();
        }
    }

    private Mono<Void> watchOnce() {
        boolean useEntries = isStale() && cache.current().version() == 0 && !entries.isEmpty() && sourceIndex % 2 == 1;
        List<PeerLink> sources = useEntries ? entries : voters;
        PeerLink source = sources.get(Math.floorMod(sourceIndex, sources.size()));
        long after = cache.current().version();
        return source.call(new Watch(after, LONG_POLL_MILLIS), TIMEOUT)
                .cast(Changes.class)
                .flatMap(c -> applyChanges(c, useEntries))
                .onErrorResume(e -> switchSource());
    }

    private Mono<Void> applyChanges(Changes changes, boolean fromEntry) {
        boolean behind = changes.version() < cache.current().version();
        cache.applyChanges(changes);
        if (!fromEntry && !behind) {
            lastVoterReplyAt = ticker.millis();
        }
        return behind || fromEntry ? switchSource() : Mono.empty();
    }

    private Mono<Void> switchSource() {
        sourceIndex++;
        return Mono.delay(RETRY_DELAY).then();
    }
}
