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

import org.hallwall.core.duty.DutyThread;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/**
 * Brings the store of a started entry up to date: it copies the claims of all other entries of the failure domain.
 *
 * <p>Once all others, none of which has forgotten anything, have been copied, this entry is sure as well. Where all have
 * forgotten, the voters say whether this is the first start of the failure domain.
 */
public final class ClaimSync implements Closeable {

    private static final Logger LOG = Logger.getLogger(ClaimSync.class);
    private static final int RING = 256;
    private static final long TICK_MILLIS = 300;
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    /** Grants of this entry's earlier life are counted for less than this time, so its keepers know them by then. */
    private static final long SETTLE_FIRST_MILLIS = 2_000;

    private final String boot = UUID.randomUUID().toString();
    private final ClaimStore store;
    private final ClaimPeers peers;
    private final Function<List<String>, Mono<List<String>>> formDomain;
    private final Ticker ticker;
    private final long startedAt;
    private final DutyThread duty;
    private final Set<InstanceId> copied = new HashSet<>();
    private final Map<InstanceId, String> unsureBoots = new HashMap<>();
    private final Set<InstanceId> asking = new HashSet<>();
    private boolean forming;

    /**
     * Creates the sync; {@link #start()} starts it.
     *
     * @param store the claims kept here
     * @param peers the other entries of the failure domain
     * @param formDomain tells the voters the boots of all entries and gives those with which the domain was first formed
     * @param ticker the clock
     */
    public ClaimSync(
            ClaimStore store, ClaimPeers peers, Function<List<String>, Mono<List<String>>> formDomain, Ticker ticker) {
        this.store = store;
        this.peers = peers;
        this.formDomain = formDomain;
        this.ticker = ticker;
        this.startedAt = ticker.millis();
        this.duty = new DutyThread("claims", RING, TICK_MILLIS, this::tick);
    }

    /** Starts the thread. */
    public void start() {
        duty.start();
    }

    /**
     * Gives the random text that names this life of the process.
     *
     * @return the text
     */
    public String boot() {
        return boot;
    }

    @Override
    public void close() {
        duty.close();
    }

    private void tick() {
        if (store.isSure() || ticker.millis() - startedAt < SETTLE_FIRST_MILLIS) {
            return;
        }
        for (InstanceId other : peers.others()) {
            if (!copied.contains(other) && asking.add(other)) {
                copyFrom(other, "");
            }
        }
        if (copied.containsAll(peers.others())) {
            becomeSure("all others were copied");
        } else if (allAnswered() && !forming) {
            form();
        }
    }

    private boolean allAnswered() {
        Set<InstanceId> answered = new HashSet<>(copied);
        answered.addAll(unsureBoots.keySet());
        return answered.containsAll(peers.others());
    }

    private void copyFrom(InstanceId other, String afterKey) {
        peers.call(other, new ClaimMessage.Sync(afterKey, boot), TIMEOUT)
                .cast(ClaimMessage.SyncPage.class)
                .subscribe(page -> duty.offer(() -> onPage(other, page)), e -> duty.offer(() -> asking.remove(other)));
    }

    private void onPage(InstanceId other, ClaimMessage.SyncPage page) {
        store.take(page.records());
        if (!page.last()) {
            copyFrom(other, page.records().get(page.records().size() - 1).key());
            return;
        }
        asking.remove(other);
        if (page.sure()) {
            copied.add(other);
            unsureBoots.remove(other);
        } else {
            unsureBoots.put(other, page.boot());
        }
    }

    private void form() {
        forming = true;
        List<String> boots = new ArrayList<>();
        if (unsureBoots.keySet().containsAll(peers.others())) {
            boots.addAll(unsureBoots.values());
            boots.add(boot);
        }
        // Where one entry is sure, the domain was formed before, and no boots only ask how.
        formDomain
                .apply(boots)
                .subscribe(formed -> duty.offer(() -> onFormed(formed)), e -> duty.offer(() -> forming = false));
    }

    private void onFormed(List<String> formed) {
        forming = false;
        if (formed.contains(boot)) {
            becomeSure("the failure domain is new");
        } else {
            unsureBoots.clear();
            copied.clear();
        }
    }

    private void becomeSure(String why) {
        LOG.infof("claims: this entry has forgotten no claim, %s", why);
        store.becomeSure();
    }
}
