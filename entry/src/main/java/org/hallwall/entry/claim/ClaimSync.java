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
package org.hallwall.entry.claim;

import java.io.Closeable;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.function.Function;

import org.hallwall.core.duty.EventLoopThread;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/**
 * Restores the claims of a restarted entry by copying them from all other entries of the failure domain.
 *
 * <p>The history is complete once the claims of all other entries have been copied and each of these had a complete
 * history itself. If none has one, the voters decide whether this is the first start of the failure domain.
 */
public final class ClaimSync implements Closeable {

    private static final Logger LOG = Logger.getLogger(ClaimSync.class);
    private static final int QUEUE_CAPACITY = 256;
    private static final long TICK_MILLIS = 300;
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    /** Claims that this entry requested before its restart are decided within this time, so their replicas have them. */
    private static final long START_DELAY_MILLIS = 2_000;

    private final String bootId = UUID.randomUUID().toString();
    private final ClaimStore store;
    private final ClaimPeers peers;
    private final Function<List<String>, Mono<List<String>>> formDomain;
    private final Ticker ticker;
    private final long startedAt;
    private final EventLoopThread eventLoop;
    private final Set<InstanceId> copied = new HashSet<>();
    private final Map<InstanceId, String> incompleteBoots = new HashMap<>();
    private final Set<InstanceId> pendingCopies = new HashSet<>();
    private boolean formationPending;

    /**
     * Creates the synchronization; call {@link #start()} to run it.
     *
     * @param store the claims stored on this entry
     * @param peers the other entries of the failure domain
     * @param formDomain proposes the boot ids of all entries to the voters and returns those of the first formation
     * @param ticker the monotonic clock
     */
    public ClaimSync(
            ClaimStore store, ClaimPeers peers, Function<List<String>, Mono<List<String>>> formDomain, Ticker ticker) {
        this.store = store;
        this.peers = peers;
        this.formDomain = formDomain;
        this.ticker = ticker;
        this.startedAt = ticker.millis();
        this.eventLoop = new EventLoopThread("claims", QUEUE_CAPACITY, TICK_MILLIS, this::tick);
    }

    /** Starts the thread. */
    public void start() {
        eventLoop.start();
    }

    /**
     * Returns the boot id, a random id of this run of the process.
     *
     * @return the boot id
     */
    public String bootId() {
        return bootId;
    }

    @Override
    public void close() {
        eventLoop.close();
    }

    private void tick() {
        if (store.hasCompleteHistory() || ticker.millis() - startedAt < START_DELAY_MILLIS) {
            return;
        }
        for (InstanceId other : peers.otherEntries()) {
            if (!copied.contains(other) && pendingCopies.add(other)) {
                copyFrom(other, "");
            }
        }
        if (copied.containsAll(peers.otherEntries())) {
            markHistoryComplete("copied from all other entries");
        } else if (haveAllReplied() && !formationPending) {
            requestFormation();
        }
    }

    private boolean haveAllReplied() {
        Set<InstanceId> replied = new HashSet<>(copied);
        replied.addAll(incompleteBoots.keySet());
        return replied.containsAll(peers.otherEntries());
    }

    private void copyFrom(InstanceId other, String afterKey) {
        peers.call(other, new ClaimMessage.SyncRequest(afterKey, bootId), TIMEOUT)
                .cast(ClaimMessage.SyncPage.class)
                .subscribe(
                        page -> eventLoop.offer(() -> onPage(other, page)),
                        e -> eventLoop.offer(() -> pendingCopies.remove(other)));
    }

    private void onPage(InstanceId other, ClaimMessage.SyncPage page) {
        store.merge(page.records());
        if (!page.last()) {
            copyFrom(other, page.records().get(page.records().size() - 1).key());
            return;
        }
        pendingCopies.remove(other);
        if (page.sure()) {
            copied.add(other);
            incompleteBoots.remove(other);
        } else {
            incompleteBoots.put(other, page.boot());
        }
    }

    private void requestFormation() {
        formationPending = true;
        List<String> boots = new ArrayList<>();
        if (incompleteBoots.keySet().containsAll(peers.otherEntries())) {
            boots.addAll(incompleteBoots.values());
            boots.add(bootId);
        }
        // If an entry has a complete history, the domain was formed before: an empty list only queries the boot ids.
        formDomain
                .apply(boots)
                .subscribe(
                        formed -> eventLoop.offer(() -> onFormed(formed)),
                        e -> eventLoop.offer(() -> formationPending = false));
    }

    private void onFormed(List<String> formed) {
        formationPending = false;
        if (formed.contains(bootId)) {
            markHistoryComplete("first start of the failure domain");
        } else {
            incompleteBoots.clear();
            copied.clear();
        }
    }

    private void markHistoryComplete(String reason) {
        LOG.infof("claims: history is complete, %s", reason);
        store.markHistoryComplete();
    }
}
