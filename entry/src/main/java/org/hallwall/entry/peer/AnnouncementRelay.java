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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.hallwall.core.duty.EventLoopState;
import org.hallwall.core.duty.EventLoopThread;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.domain.AnnouncedTarget;
import org.hallwall.domain.DomainMessage;
import org.hallwall.domain.DomainTiming;
import org.hallwall.domain.TargetDirectory;
import org.hallwall.engine.Announcement;

/** Relays the announcements of targets to the other entries of the failure domain, in batches. */
public final class AnnouncementRelay implements Closeable {

    private static final int QUEUE_CAPACITY = 8_192;
    private static final long BATCH_INTERVAL_MILLIS = 100;

    private final TargetDirectory directory;
    private final EntryPeers peers;
    private final Ticker ticker;
    private final EventLoopThread eventLoop;
    private final Map<InstanceId, AnnouncedTarget> pending = new LinkedHashMap<>();
    private final Map<InstanceId, FullAnnouncement> lastFullByTarget = new HashMap<>();

    /**
     * Creates the relay; call {@link #start()} to run it.
     *
     * @param directory the directory to update
     * @param peers the other entries
     * @param ticker the monotonic clock
     */
    public AnnouncementRelay(TargetDirectory directory, EntryPeers peers, Ticker ticker) {
        this.directory = directory;
        this.peers = peers;
        this.ticker = ticker;
        this.eventLoop = new EventLoopThread("announcements", QUEUE_CAPACITY, BATCH_INTERVAL_MILLIS, this::flush);
    }

    /** Starts the thread. */
    public void start() {
        eventLoop.start();
    }

    /**
     * Records the announcement of a target and queues it for the other entries.
     *
     * @param a the announcement
     */
    public void receive(Announcement a) {
        if (directory.update(a, 0)) {
            AnnouncedTarget t = new AnnouncedTarget(a, ticker.millis());
            eventLoop.offer(() -> pending.put(a.instance(), t));
        }
    }

    /**
     * Records announcements that another entry relayed.
     *
     * @param relayed the announcements
     */
    public void receive(DomainMessage.RelayedAnnouncements relayed) {
        for (DomainMessage.AgedAnnouncement a : relayed.announcements()) {
            directory.update(a.announcement(), a.ageMillis());
        }
        for (DomainMessage.AnnouncementUpdate r : relayed.repeats()) {
            directory.update(r);
        }
    }

    /**
     * Returns the state of the event loop.
     *
     * @return the state
     */
    public EventLoopState eventLoopState() {
        return eventLoop.state();
    }

    @Override
    public void close() {
        eventLoop.close();
    }

    private void flush() {
        directory.detectPause();
        if (pending.isEmpty()) {
            return;
        }
        long now = ticker.millis();
        List<DomainMessage.AgedAnnouncement> full = new ArrayList<>();
        List<DomainMessage.AnnouncementUpdate> updates = new ArrayList<>();
        for (AnnouncedTarget t : pending.values()) {
            Announcement a = t.announcement();
            int contentHash = a.contentHash();
            if (canSendUpdate(a.instance(), contentHash, now)) {
                updates.add(createUpdate(t, contentHash, now));
            } else {
                full.add(new DomainMessage.AgedAnnouncement(a, now - t.announcedAt()));
                lastFullByTarget.put(a.instance(), new FullAnnouncement(contentHash, now));
            }
        }
        pending.clear();
        DomainMessage.RelayedAnnouncements message = new DomainMessage.RelayedAnnouncements(full, updates);
        peers.otherEntries().forEach(o -> peers.send(o, message));
    }

    private boolean canSendUpdate(InstanceId target, int contentHash, long now) {
        FullAnnouncement last = lastFullByTarget.get(target);
        return last != null
                && last.contentHash == contentHash
                && now - last.sentAt < DomainTiming.FULL_ANNOUNCEMENT_INTERVAL_MILLIS;
    }

    private static DomainMessage.AnnouncementUpdate createUpdate(AnnouncedTarget t, int contentHash, long now) {
        Announcement a = t.announcement();
        return new DomainMessage.AnnouncementUpdate(
                a.instance(),
                contentHash,
                a.sequence(),
                a.load().running(),
                a.load().queued(),
                (int) (now - t.announcedAt()));
    }

    /** The last full announcement of a target that was relayed. */
    private record FullAnnouncement(int contentHash, long sentAt) {}
}
