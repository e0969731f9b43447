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

import org.hallwall.core.duty.DutyState;
import org.hallwall.core.duty.DutyThread;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.domain.DomainMessage;
import org.hallwall.domain.DomainTiming;
import org.hallwall.domain.KnownTarget;
import org.hallwall.domain.TargetDirectory;
import org.hallwall.engine.Announcement;

/** Passes the announcements that targets make here on to the other entries, in batches. */
public final class AnnouncementRelay implements Closeable {

    private static final int RING = 8_192;
    private static final long BATCH_MILLIS = 100;

    private final TargetDirectory directory;
    private final EntryPeers peers;
    private final Ticker ticker;
    private final DutyThread duty;
    private final Map<InstanceId, KnownTarget> waiting = new LinkedHashMap<>();
    private final Map<InstanceId, Whole> passedOn = new HashMap<>();

    /**
     * Creates the relay; {@link #start()} starts it.
     *
     * @param directory where announcements go
     * @param peers the other entries
     * @param ticker the clock
     */
    public AnnouncementRelay(TargetDirectory directory, EntryPeers peers, Ticker ticker) {
        this.directory = directory;
        this.peers = peers;
        this.ticker = ticker;
        this.duty = new DutyThread("announcements", RING, BATCH_MILLIS, this::passOn);
    }

    /** Starts the thread. */
    public void start() {
        duty.start();
    }

    /**
     * Takes the announcement of a target.
     *
     * @param a the announcement
     */
    public void take(Announcement a) {
        if (directory.take(a, 0)) {
            KnownTarget t = new KnownTarget(a, ticker.millis());
            duty.offer(() -> waiting.put(a.instance(), t));
        }
    }

    /**
     * Takes announcements that another entry passes on.
     *
     * @param relayed the announcements
     */
    public void take(DomainMessage.Relayed relayed) {
        for (DomainMessage.Aged a : relayed.announcements()) {
            directory.take(a.announcement(), a.ageMillis());
        }
        for (DomainMessage.Repeat r : relayed.repeats()) {
            directory.take(r);
        }
    }

    /**
     * Gives the state of the ring.
     *
     * @return the state
     */
    public DutyState dutyState() {
        return duty.state();
    }

    @Override
    public void close() {
        duty.close();
    }

    private void passOn() {
        directory.beat();
        if (waiting.isEmpty()) {
            return;
        }
        long now = ticker.millis();
        List<DomainMessage.Aged> whole = new ArrayList<>();
        List<DomainMessage.Repeat> repeats = new ArrayList<>();
        for (KnownTarget t : waiting.values()) {
            Announcement a = t.announcement();
            int content = a.contentHash();
            if (mayRepeat(a.instance(), content, now)) {
                repeats.add(repeat(t, content, now));
            } else {
                whole.add(new DomainMessage.Aged(a, now - t.heardAt()));
                passedOn.put(a.instance(), new Whole(content, now));
            }
        }
        waiting.clear();
        DomainMessage.Relayed message = new DomainMessage.Relayed(whole, repeats);
        peers.others().forEach(o -> peers.send(o, message));
    }

    private boolean mayRepeat(InstanceId target, int content, long now) {
        Whole last = passedOn.get(target);
        return last != null && last.content == content && now - last.at < DomainTiming.WHOLE_EVERY_MILLIS;
    }

    private static DomainMessage.Repeat repeat(KnownTarget t, int content, long now) {
        Announcement a = t.announcement();
        return new DomainMessage.Repeat(
                a.instance(),
                content,
                a.sequence(),
                a.load().running(),
                a.load().queued(),
                (int) (now - t.heardAt()));
    }

    /** What was last passed on whole of a target, and when. */
    private record Whole(int content, long at) {}
}
