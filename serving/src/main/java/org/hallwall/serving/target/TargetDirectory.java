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

/** All targets, merged from the feeds of several control instances; the later announcement of a target counts. */
public final class TargetDirectory {

    /** How long a target that has said that it ends stays known, in milliseconds; longer than any late announcement. */
    private static final long FORGET_MILLIS = 90_000;

    /** How long a target that is silent stays known, in milliseconds; entries hear of changes only. */
    private static final long SILENT_MILLIS = 86_400_000;

    private final Ticker ticker;
    private final Map<InstanceId, KnownTarget> targets = new HashMap<>();
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
     * Sets who is told of each change.
     *
     * @param listener takes the new record
     */
    public void onChange(Consumer<TargetRecord> listener) {
        this.listener = listener;
    }

    /**
     * Takes a record from a feed.
     *
     * @param record the record
     */
    public void take(TargetRecord record) {
        synchronized (this) {
            KnownTarget known = targets.get(record.instance());
            boolean late = known != null && record.sequence() <= known.record().sequence();
            if (late || starts.isPast(record.instance())) {
                return;
            }
            replace(starts.note(record.instance()));
            String last = known == null ? null : known.lastModel();
            targets.put(
                    record.instance(),
                    new KnownTarget(record, record.model() == null ? last : record.model(), ticker.millis()));
        }
        listener.accept(record);
    }

    private void replace(InstanceId earlier) {
        KnownTarget known = earlier == null ? null : targets.get(earlier);
        if (known != null) {
            targets.put(earlier, new KnownTarget(known.record().replaced(), known.lastModel(), ticker.millis()));
        }
    }

    /**
     * Finds the latest start of a target.
     *
     * @param name the target's name
     * @return its last record, or null
     */
    public synchronized TargetRecord findNamed(String name) {
        InstanceId id = starts.of(name);
        return id == null ? null : find(id);
    }

    /**
     * Notes that a target was heard.
     *
     * @param instance the target
     */
    public synchronized void heard(InstanceId instance) {
        KnownTarget known = targets.get(instance);
        if (known != null) {
            targets.put(instance, new KnownTarget(known.record(), known.lastModel(), ticker.millis()));
        }
    }

    /**
     * Finds a target.
     *
     * @param instance the target
     * @return its last record, or null
     */
    public synchronized TargetRecord find(InstanceId instance) {
        KnownTarget known = targets.get(instance);
        return known == null ? null : known.record();
    }

    /**
     * Lists all targets and forgets those not heard for long.
     *
     * @return the targets
     */
    public synchronized Collection<KnownTarget> list() {
        long now = ticker.millis();
        targets.values().removeIf(k -> {
            boolean forgotten = now - k.heardAt() > (k.record().isServing() ? SILENT_MILLIS : FORGET_MILLIS);
            if (forgotten) {
                starts.forget(k.record().instance());
            }
            return forgotten;
        });
        List<KnownTarget> out = new ArrayList<>(targets.values());
        return out;
    }

    /**
     * A target and when it was heard.
     *
     * @param record its last record
     * @param lastModel the model that it announced last; an engine without a group announces none, and still has it
     * @param heardAt the clock in milliseconds
     */
    public record KnownTarget(TargetRecord record, String lastModel, long heardAt) {}
}
