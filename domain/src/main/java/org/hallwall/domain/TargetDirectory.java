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

/** The targets of the failure domain, as they announce themselves. Safe for use by several threads. */
public final class TargetDirectory {

    private static final Logger LOG = Logger.getLogger(TargetDirectory.class);
    private static final long FORGET_MILLIS = 60_000;
    private static final long PAUSE_MILLIS = 1_000;
    private static final long SETTLE_MILLIS = 500;

    private final Ticker ticker;
    private final Map<InstanceId, KnownTarget> targets = new ConcurrentHashMap<>();
    private final AtomicLong taken = new AtomicLong();
    private final AtomicLong stale = new AtomicLong();
    private volatile long beatAt;
    private volatile long resetAt;
    private volatile long ignoreUntil;

    /**
     * Creates an empty directory.
     *
     * @param ticker the clock
     */
    public TargetDirectory(Ticker ticker) {
        this.ticker = ticker;
        this.beatAt = ticker.millis();
        this.resetAt = beatAt;
    }

    /**
     * Notes that this process runs; to be called several times a second. After a pause of the process all that is known
     * is dropped, and what comes in at first too: it may have waited in buffers and be older than it says.
     */
    public void beat() {
        long now = ticker.millis();
        if (now - beatAt > PAUSE_MILLIS) {
            LOG.infof("domain: this process stood still for %d ms and listens anew", now - beatAt);
            ignoreUntil = now + SETTLE_MILLIS;
            resetAt = ignoreUntil;
            targets.clear();
        }
        beatAt = now;
    }

    /**
     * Says since when announcements are taken without a break.
     *
     * @return the clock at the start of this process or after its last pause
     */
    public long listeningSince() {
        return resetAt;
    }

    /**
     * Takes an announcement.
     *
     * @param a the announcement
     * @param ageMillis how long ago it was made
     * @return false if a later one is known already, or if this process has just stood still
     */
    public boolean take(Announcement a, long ageMillis) {
        long now = ticker.millis();
        if (now < ignoreUntil || now - beatAt > PAUSE_MILLIS) {
            stale.incrementAndGet();
            return false;
        }
        KnownTarget fresh = new KnownTarget(a, now - ageMillis);
        KnownTarget kept = targets.merge(a.instance(), fresh, TargetDirectory::later);
        boolean isNew = kept == fresh;
        (isNew ? taken : stale).incrementAndGet();
        return isNew;
    }

    /**
     * Takes an announcement that repeats an earlier one.
     *
     * @param r what is new
     * @return false if the earlier one is not known here; the whole one will come
     */
    public boolean take(DomainMessage.Repeat r) {
        KnownTarget known = targets.get(r.instance());
        if (known == null || known.announcement().contentHash() != r.content()) {
            stale.incrementAndGet();
            return false;
        }
        TargetLoad load = new TargetLoad(
                r.running(), r.queued(), known.announcement().load().slots());
        return take(known.announcement().repeated(r.sequence(), load), r.ageMillis());
    }

    /**
     * Lists the targets heard in the last minute.
     *
     * @return the targets
     */
    public List<KnownTarget> list() {
        long now = ticker.millis();
        targets.values().removeIf(t -> now - t.heardAt() > FORGET_MILLIS);
        return new ArrayList<>(targets.values());
    }

    /**
     * Finds a target.
     *
     * @param instance its name
     * @return the target; null if it is not known
     */
    public KnownTarget get(InstanceId instance) {
        return targets.get(instance);
    }

    /**
     * Counts the announcements taken since the start.
     *
     * @return how many
     */
    public long taken() {
        return taken.get();
    }

    /**
     * Counts the announcements dropped because a later one was known.
     *
     * @return how many
     */
    public long stale() {
        return stale.get();
    }

    private static KnownTarget later(KnownTarget old, KnownTarget fresh) {
        boolean sameBoot = old.announcement().boot().equals(fresh.announcement().boot());
        if (sameBoot) {
            return fresh.announcement().sequence() > old.announcement().sequence() ? fresh : old;
        }
        return fresh.heardAt() >= old.heardAt() ? fresh : old;
    }
}
