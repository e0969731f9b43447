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
package org.hallwall.serving.target;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * The announcements that one control instance has received from targets, numbered so that other instances can follow them.
 *
 * <p>A change completes all waiting polls. A heartbeat without a change is sent with the next answer.
 */
public final class TargetFeed {

    /** How long a target is kept after its last announcement, so that late announcements are recognised. */
    private static final long RETENTION_MILLIS = 60_000;

    private final Ticker ticker;
    private final String boot = Long.toHexString(ThreadLocalRandom.current().nextLong() | 1L);
    private final Map<InstanceId, Announcement> announcements = new HashMap<>();
    private final LatestStarts starts = new LatestStarts();
    private final List<MonoSink<Boolean>> waiting = new ArrayList<>();
    private Set<InstanceId> lost = Set.of();
    private long lostChange;
    private long changes;
    private long heartbeats;

    /**
     * Creates an empty feed.
     *
     * @param ticker the clock
     */
    public TargetFeed(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Applies an announcement.
     *
     * @param record the announced record
     * @return true if it is a change; false if it is outdated or unchanged
     */
    public boolean announce(TargetRecord record) {
        List<MonoSink<Boolean>> waiters;
        synchronized (this) {
            Announcement a = announcements.get(record.instance());
            if (a != null && (record.sequence() <= a.record.sequence() || a.isGone())
                    || starts.isSuperseded(record.instance())) {
                return false;
            }
            markReplaced(starts.update(record.instance()));
            Announcement updated = new Announcement(record, a == null ? 0 : a.change, ++heartbeats, ticker.millis());
            announcements.put(record.instance(), updated);
            if (a != null && record.equalsIgnoringSequence(a.record)) {
                return false;
            }
            updated.change = ++changes;
            removeExpired();
            waiters = drainWaiting();
        }
        waiters.forEach(s -> s.success(true));
        return true;
    }

    /** Publishes the end of an earlier start of the target. */
    private void markReplaced(InstanceId earlier) {
        Announcement a = earlier == null ? null : announcements.get(earlier);
        if (a != null && !a.isGone()) {
            announcements.put(
                    earlier, new Announcement(a.record.asReplaced(), ++changes, ++heartbeats, ticker.millis()));
        }
    }

    /**
     * Sets the targets that the group controller of this instance considers dead.
     *
     * @param targets all targets that are considered dead now
     */
    public void setLost(Set<InstanceId> targets) {
        List<MonoSink<Boolean>> waiters;
        synchronized (this) {
            if (targets.equals(lost)) {
                return;
            }
            lost = Set.copyOf(targets);
            lostChange = ++changes;
            waiters = drainWaiting();
        }
        waiters.forEach(s -> s.success(true));
    }

    /** Completes all waiting polls after a change of something other than targets. */
    public void completeWaiting() {
        List<MonoSink<Boolean>> waiters;
        synchronized (this) {
            waiters = drainWaiting();
        }
        waiters.forEach(s -> s.success(true));
    }

    /**
     * Waits until there are changes for a poll.
     *
     * @param poll the poll
     * @param configurationVersion the current version of the configuration
     * @param suspectsVersion the current version of the suspects
     * @return true when there are changes, false when the wait is over
     */
    public Mono<Boolean> await(FeedMessage.Poll poll, long configurationVersion, long suspectsVersion) {
        return Mono.<Boolean>create(sink -> {
                    if (!register(poll, configurationVersion, suspectsVersion, sink)) {
                        sink.success(true);
                    }
                })
                .timeout(Duration.ofMillis(poll.waitMillis()), Mono.just(false));
    }

    /**
     * Returns the changes since a poll's version.
     *
     * @param poll the poll
     * @return the changes and heartbeats
     */
    public synchronized FeedMessage.Changes news(FeedMessage.Poll poll) {
        boolean sameBoot = boot.equals(poll.boot());
        long after = sameBoot ? poll.after() : 0;
        long heardAfter = sameBoot ? poll.heardAfter() : Math.min(poll.heardAfter(), 0);
        List<TargetRecord> records = new ArrayList<>();
        List<InstanceId> heard = new ArrayList<>();
        for (Announcement a : announcements.values()) {
            if (a.change > after) {
                records.add(a.record);
            }
            if (heardAfter >= 0 && a.heartbeat > heardAfter) {
                heard.add(a.record.instance());
            }
        }
        List<InstanceId> dead = lostChange > after ? List.copyOf(lost) : null;
        return new FeedMessage.Changes(
                boot, changes, records, dead, heartbeats, heard, 0, null, List.of(), 0, 0, null, null, null, null);
    }

    private synchronized boolean register(
            FeedMessage.Poll poll, long version, long suspectsVersion, MonoSink<Boolean> sink) {
        boolean current = boot.equals(poll.boot())
                && poll.after() == changes
                && poll.configurationVersion() >= version
                && poll.suspectsVersion() >= suspectsVersion;
        if (!current) {
            return false;
        }
        waiting.add(sink);
        sink.onDispose(() -> unregister(sink));
        return true;
    }

    private synchronized void unregister(MonoSink<Boolean> sink) {
        waiting.remove(sink);
    }

    private List<MonoSink<Boolean>> drainWaiting() {
        List<MonoSink<Boolean>> drained = new ArrayList<>(waiting);
        waiting.clear();
        return drained;
    }

    private void removeExpired() {
        long now = ticker.millis();
        Iterator<Announcement> all = announcements.values().iterator();
        while (all.hasNext()) {
            Announcement a = all.next();
            if (now - a.heardAt > RETENTION_MILLIS) {
                all.remove();
                starts.remove(a.record.instance());
            }
        }
    }

    /** The last announcement of one target. */
    private static final class Announcement {

        private final TargetRecord record;
        private final long heartbeat;
        private final long heardAt;
        private long change;

        Announcement(TargetRecord record, long change, long heartbeat, long heardAt) {
            this.record = record;
            this.change = change;
            this.heartbeat = heartbeat;
            this.heardAt = heardAt;
        }

        boolean isGone() {
            return record.isOver();
        }
    }
}
