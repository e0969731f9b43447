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

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;

/** All known targets, merged from the feeds of the control instances; the latest announcement of a target applies. */
public final class TargetDirectory {

    /** How long a target is kept after its shutdown, so that late announcements are recognised. */
    private static final long ENDED_RETENTION_MILLIS = 90_000;

    /** How long a serving target is kept without an update; entries receive changes only. */
    private static final long SERVING_RETENTION_MILLIS = 86_400_000;

    private final Ticker ticker;
    private final Map<InstanceId, AnnouncedTarget> targets = new HashMap<>();
    private final LatestStarts starts = new LatestStarts();
    private volatile Consumer<TargetRecord> listener = r -> {};

    /**
     * Creates an empty directory.
     *
     * @param ticker the clock
     */
    public TargetDirectory(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Sets the listener for changes.
     *
     * @param listener receives each new record
     */
    public void onChange(Consumer<TargetRecord> listener) {
        this.listener = listener;
    }

    /**
     * Applies a record from a feed, unless a later one is known.
     *
     * @param record the record
     */
    public void applyRecord(TargetRecord record) {
        synchronized (this) {
            AnnouncedTarget announced = targets.get(record.instance());
            boolean outdated =
                    announced != null && record.sequence() <= announced.record().sequence();
            if (outdated || starts.isSuperseded(record.instance())) {
                return;
            }
            markReplaced(starts.update(record.instance()));
            String lastModel = announced == null ? null : announced.lastModel();
            targets.put(
                    record.instance(),
                    new AnnouncedTarget(record, record.model() == null ? lastModel : record.model(), ticker.millis()));
        }
        listener.accept(record);
    }

    private void markReplaced(InstanceId earlier) {
        AnnouncedTarget announced = earlier == null ? null : targets.get(earlier);
        if (announced != null) {
            targets.put(
                    earlier,
                    new AnnouncedTarget(announced.record().asReplaced(), announced.lastModel(), ticker.millis()));
        }
    }

    /**
     * Finds the latest start of a target.
     *
     * @param name the target's name
     * @return its last record, or null
     */
    public synchronized TargetRecord findByName(String name) {
        InstanceId id = starts.get(name);
        return id == null ? null : find(id);
    }

    /**
     * Records a heartbeat of a target.
     *
     * @param instance the target
     */
    public synchronized void recordHeartbeat(InstanceId instance) {
        AnnouncedTarget announced = targets.get(instance);
        if (announced != null) {
            targets.put(instance, new AnnouncedTarget(announced.record(), announced.lastModel(), ticker.millis()));
        }
    }

    /**
     * Finds a target.
     *
     * @param instance the target
     * @return its last record, or null
     */
    public synchronized TargetRecord find(InstanceId instance) {
        AnnouncedTarget announced = targets.get(instance);
        return announced == null ? null : announced.record();
    }

    /**
     * Finds a target and when it was last heard.
     *
     * @param instance the target
     * @return its last record and the time of it, or null
     */
    public synchronized AnnouncedTarget findAnnounced(InstanceId instance) {
        return targets.get(instance);
    }

    /**
     * Returns whether a target has ended: it is unknown or over, or another one has announced its address since.
     *
     * @param instance the target
     * @return true if it has ended
     */
    public synchronized boolean hasEnded(InstanceId instance) {
        AnnouncedTarget announced = targets.get(instance);
        return announced == null || announced.record().isOver() || isAddressReused(announced);
    }

    private boolean isAddressReused(AnnouncedTarget announced) {
        for (AnnouncedTarget other : targets.values()) {
            boolean sameAddress =
                    other.record().address().equals(announced.record().address());
            if (other != announced && sameAddress && other.heardAt() > announced.heardAt()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Removes expired targets and returns the others.
     *
     * @return the known targets
     */
    public synchronized Collection<AnnouncedTarget> list() {
        long now = ticker.millis();
        targets.values().removeIf(k -> {
            boolean expired =
                    now - k.heardAt() > (k.record().isServing() ? SERVING_RETENTION_MILLIS : ENDED_RETENTION_MILLIS);
            if (expired) {
                starts.remove(k.record().instance());
            }
            return expired;
        });
        List<AnnouncedTarget> out = new ArrayList<>(targets.values());
        return out;
    }

    /**
     * A known target.
     *
     * @param record its last record
     * @param lastModel the last announced model; an engine without a group announces none but still holds it
     * @param heardAt the ticker time of its last record or heartbeat
     */
    public record AnnouncedTarget(TargetRecord record, String lastModel, long heardAt) {}
}
