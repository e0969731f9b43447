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
 * What one control instance has heard from targets itself, numbered so that others can follow it.
 *
 * <p>A change wakes all who wait. A heartbeat without a change wakes nobody; it travels with the next answer.
 */
public final class TargetFeed {

    /** How long a target that is gone stays known, so that late announcements of it are recognised, in milliseconds. */
    private static final long KEEP_GONE_MILLIS = 60_000;

    private final Ticker ticker;
    private final String boot = Long.toHexString(ThreadLocalRandom.current().nextLong() | 1L);
    private final Map<InstanceId, Place> places = new HashMap<>();
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
     * Takes an announcement.
     *
     * @param record what the target announced
     * @return true if it is news; false if it is late or repeats what is known
     */
    public boolean announce(TargetRecord record) {
        List<MonoSink<Boolean>> woken;
        synchronized (this) {
            Place p = places.get(record.instance());
            if (p != null && (record.sequence() <= p.record.sequence() || p.isGone())
                    || starts.isPast(record.instance())) {
                return false;
            }
            replace(starts.note(record.instance()));
            Place fresh = new Place(record, p == null ? 0 : p.change, ++heartbeats, ticker.millis());
            places.put(record.instance(), fresh);
            if (p != null && record.tellsTheSame(p.record)) {
                return false;
            }
            fresh.change = ++changes;
            forgetGone();
            woken = takeWaiting();
        }
        woken.forEach(s -> s.success(true));
        return true;
    }

    /** What was heard of an earlier start is over, and followers are told so. */
    private void replace(InstanceId earlier) {
        Place p = earlier == null ? null : places.get(earlier);
        if (p != null && !p.isGone()) {
            places.put(earlier, new Place(p.record.replaced(), ++changes, ++heartbeats, ticker.millis()));
        }
    }

    /**
     * Takes a target's word that it ends.
     *
     * @param instance the target
     * @param known the last record known from elsewhere, or null
     */
    public void leave(InstanceId instance, TargetRecord known) {
        TargetRecord last;
        synchronized (this) {
            Place p = places.get(instance);
            last = p == null ? known : p.record;
        }
        if (last != null) {
            announce(last.with(Long.MAX_VALUE, TargetRecord.Presence.GONE));
        }
    }

    /**
     * Marks which targets the group controller of this instance holds for dead; a target that is heard again is no longer marked.
     *
     * @param targets all that are held for dead now
     */
    public void markLost(Set<InstanceId> targets) {
        List<MonoSink<Boolean>> woken;
        synchronized (this) {
            if (targets.equals(lost)) {
                return;
            }
            lost = Set.copyOf(targets);
            lostChange = ++changes;
            woken = takeWaiting();
        }
        woken.forEach(s -> s.success(true));
    }

    /** Wakes all who wait, because something besides targets has changed. */
    public void wake() {
        List<MonoSink<Boolean>> woken;
        synchronized (this) {
            woken = takeWaiting();
        }
        woken.forEach(s -> s.success(true));
    }

    /**
     * Waits until there is news.
     *
     * @param poll what the asker has
     * @param configurationVersion the version in force here
     * @param suspectsVersion the version of the suspects here
     * @return the end of the wait
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
     * Gives the changes after a number.
     *
     * @param poll what the asker has
     * @return the changes and heartbeats
     */
    public synchronized FeedMessage.News news(FeedMessage.Poll poll) {
        boolean sameBoot = boot.equals(poll.boot());
        long after = sameBoot ? poll.after() : 0;
        long heardAfter = sameBoot ? poll.heardAfter() : Math.min(poll.heardAfter(), 0);
        List<TargetRecord> records = new ArrayList<>();
        List<InstanceId> heard = new ArrayList<>();
        for (Place p : places.values()) {
            if (p.change > after) {
                records.add(p.record);
            }
            if (heardAfter >= 0 && p.heartbeat > heardAfter) {
                heard.add(p.record.instance());
            }
        }
        List<InstanceId> dead = lostChange > after ? List.copyOf(lost) : null;
        return new FeedMessage.News(boot, changes, records, dead, heartbeats, heard, 0, null, List.of(), 0, 0, null);
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

    private List<MonoSink<Boolean>> takeWaiting() {
        List<MonoSink<Boolean>> out = new ArrayList<>(waiting);
        waiting.clear();
        return out;
    }

    private void forgetGone() {
        long now = ticker.millis();
        Iterator<Place> all = places.values().iterator();
        while (all.hasNext()) {
            Place p = all.next();
            if (now - p.heardAt > KEEP_GONE_MILLIS) {
                all.remove();
                starts.forget(p.record.instance());
            }
        }
    }

    /** What is known of one target. */
    private static final class Place {

        private final TargetRecord record;
        private final long heartbeat;
        private final long heardAt;
        private long change;

        Place(TargetRecord record, long change, long heartbeat, long heardAt) {
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
