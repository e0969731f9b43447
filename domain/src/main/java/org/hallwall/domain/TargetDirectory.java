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
package org.hallwall.domain;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.engine.Announcement;
import org.hallwall.engine.TargetLoad;
import org.jboss.logging.Logger;

/** Holds the latest announcement of each target of the failure domain. Thread-safe. */
public final class TargetDirectory {

    private static final Logger LOG = Logger.getLogger(TargetDirectory.class);
    private static final long RETENTION_MILLIS = 60_000;
    private static final long PAUSE_THRESHOLD_MILLIS = 1_000;
    private static final long RESUME_DELAY_MILLIS = 500;

    private final Ticker ticker;
    private final Map<InstanceId, AnnouncedTarget> targets = new ConcurrentHashMap<>();
    private final AtomicLong acceptedCount = new AtomicLong();
    private final AtomicLong staleCount = new AtomicLong();
    private volatile long lastBeatAt;
    private volatile long receivingFrom;
    private volatile long ignoreUntil;

    /**
     * Creates an empty directory.
     *
     * @param ticker the monotonic clock
     */
    public TargetDirectory(Ticker ticker) {
        this.ticker = ticker;
        this.lastBeatAt = ticker.millis();
        this.receivingFrom = lastBeatAt;
    }

    /**
     * Detects pauses of this process; must be called several times a second. After a pause, all announcements are
     * discarded, and so are those received during a short delay: they may have been buffered during the pause and be
     * older than their stated age.
     */
    public void detectPause() {
        long now = ticker.millis();
        if (now - lastBeatAt > PAUSE_THRESHOLD_MILLIS) {
            LOG.infof("domain: this process was paused for %d ms, discarding all announcements", now - lastBeatAt);
            ignoreUntil = now + RESUME_DELAY_MILLIS;
            receivingFrom = ignoreUntil;
            targets.clear();
        }
        lastBeatAt = now;
    }

    /**
     * Returns the time since which announcements have been received without interruption.
     *
     * @return the monotonic time of the process start or of the end of its last pause
     */
    public long receivingSince() {
        return receivingFrom;
    }

    /**
     * Stores an announcement if it is newer than the known one.
     *
     * @param a the announcement
     * @param ageMillis the age of the announcement
     * @return false if a newer one is known, or if this process was paused just before
     */
    public boolean update(Announcement a, long ageMillis) {
        long now = ticker.millis();
        if (now < ignoreUntil || now - lastBeatAt > PAUSE_THRESHOLD_MILLIS) {
            staleCount.incrementAndGet();
            return false;
        }
        AnnouncedTarget fresh = new AnnouncedTarget(a, now - ageMillis);
        AnnouncedTarget kept = targets.merge(a.instance(), fresh, TargetDirectory::newer);
        boolean isNew = kept == fresh;
        (isNew ? acceptedCount : staleCount).incrementAndGet();
        return isNew;
    }

    /**
     * Updates the sequence and the load of a known announcement.
     *
     * @param r the update
     * @return false if the announcement it refers to is unknown; a full announcement follows later
     */
    public boolean update(DomainMessage.AnnouncementUpdate r) {
        AnnouncedTarget announced = targets.get(r.instance());
        if (announced == null || announced.announcement().contentHash() != r.content()) {
            staleCount.incrementAndGet();
            return false;
        }
        TargetLoad load = new TargetLoad(
                r.running(), r.queued(), announced.announcement().load().slots());
        return update(announced.announcement().withSequenceAndLoad(r.sequence(), load), r.ageMillis());
    }

    /**
     * Returns the targets that announced themselves in the last minute.
     *
     * @return the targets
     */
    public List<AnnouncedTarget> list() {
        long now = ticker.millis();
        targets.values().removeIf(t -> now - t.announcedAt() > RETENTION_MILLIS);
        return new ArrayList<>(targets.values());
    }

    /**
     * Returns a target by name.
     *
     * @param instance the name
     * @return the target; null if unknown
     */
    public AnnouncedTarget get(InstanceId instance) {
        return targets.get(instance);
    }

    /**
     * Returns the number of announcements accepted since the start.
     *
     * @return the count
     */
    public long acceptedCount() {
        return acceptedCount.get();
    }

    /**
     * Returns the number of announcements dropped since the start: outdated, without a known base, or after a pause.
     *
     * @return the count
     */
    public long staleCount() {
        return staleCount.get();
    }

    private static AnnouncedTarget newer(AnnouncedTarget old, AnnouncedTarget fresh) {
        boolean sameBoot = old.announcement().boot().equals(fresh.announcement().boot());
        if (sameBoot) {
            return fresh.announcement().sequence() > old.announcement().sequence() ? fresh : old;
        }
        return fresh.announcedAt() >= old.announcedAt() ? fresh : old;
    }
}
