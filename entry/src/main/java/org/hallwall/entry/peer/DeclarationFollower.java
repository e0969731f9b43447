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
 * Follows the declarations at a voter, at another one when the first is silent or behind, and at an entry of the
 * failure domain when no voter answers.
 */
public final class DeclarationFollower implements Closeable {

    private static final Logger LOG = Logger.getLogger(DeclarationFollower.class);
    private static final long WAIT_MILLIS = 3_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final Duration PAUSE = Duration.ofMillis(100);
    private static final long OLD_AFTER_MILLIS = 8_000;

    private final DeclarationCache cache;
    private final List<PeerLink> voters;
    private final List<PeerLink> entries;
    private final Ticker ticker;
    private volatile long voterHeardAt = Long.MIN_VALUE;
    private int at;
    private Disposable loop;

    /**
     * Creates the follower; {@link #start()} starts it.
     *
     * @param cache where the declarations go
     * @param voters the links to the voters
     * @param entries the links to the other entries of the failure domain
     * @param first the number of the voter to ask first
     * @param ticker the clock
     */
    public DeclarationFollower(
            DeclarationCache cache, List<PeerLink> voters, List<PeerLink> entries, int first, Ticker ticker) {
        this.cache = cache;
        this.voters = voters;
        this.entries = entries;
        this.at = first;
        this.ticker = ticker;
    }

    /** Starts to follow. */
    public void start() {
        loop = Mono.defer(this::askOnce)
                .onErrorResume(e -> {
                    LOG.warnf("entry: a watch of the declarations failed, %s", e.getMessage());
                    return Mono.delay(PAUSE).then();
                })
                .repeat()
                .subscribe();
    }

    /**
     * Says whether the declarations may be old.
     *
     * @return true if no voter has answered lately
     */
    public boolean mayBeOld() {
        long heard = voterHeardAt;
        return heard == Long.MIN_VALUE || ticker.millis() - heard > OLD_AFTER_MILLIS;
    }

    @Override
    public void close() {
        if (loop != null) {
            loop.dispose();
        }
    }

    private Mono<Void> askOnce() {
        boolean askEntries = mayBeOld() && cache.current().version() == 0 && !entries.isEmpty() && at % 2 == 1;
        List<PeerLink> sources = askEntries ? entries : voters;
        PeerLink source = sources.get(Math.floorMod(at, sources.size()));
        long after = cache.current().version();
        return source.call(new Watch(after, WAIT_MILLIS), TIMEOUT)
                .cast(Changes.class)
                .flatMap(c -> take(c, askEntries))
                .onErrorResume(e -> next());
    }

    private Mono<Void> take(Changes changes, boolean fromEntry) {
        boolean behind = changes.version() < cache.current().version();
        cache.take(changes);
        if (!fromEntry && !behind) {
            voterHeardAt = ticker.millis();
        }
        return behind || fromEntry ? next() : Mono.empty();
    }

    private Mono<Void> next() {
        at++;
        return Mono.delay(PAUSE).then();
    }
}
