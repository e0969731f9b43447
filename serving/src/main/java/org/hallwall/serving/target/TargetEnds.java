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
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The replicated state machine of acknowledged ends of targets. Deterministic: it reads no clock and does no I/O.
 *
 * <p>An end is a tombstone: it outlives the processes that received it, so that an older announcement that arrives late does not bring
 * the target back. A later start of the target is not affected.
 */
public final class TargetEnds {

    /** How long an end is kept; announcements may be late by seconds, and targets serve for some seconds after it. */
    private static final long RETENTION_MILLIS = 600_000;
    /** The maximum number of ends; some times the targets of the largest fleet. */
    private static final int MAX_ENDS = 4_096;

    private final Map<String, RecordedEnd> ends = new LinkedHashMap<>();
    private volatile Consumer<TargetEnd> listener = e -> {};

    /**
     * Sets the listener for new ends.
     *
     * @param consumer receives each end, on the log's thread
     */
    public void onRecord(Consumer<TargetEnd> consumer) {
        listener = consumer;
    }

    /**
     * Records an end.
     *
     * @param end the end
     * @param at the leader's wall clock in milliseconds since the epoch
     */
    public void record(TargetEnd end, long at) {
        synchronized (this) {
            removeExpired(at);
            RecordedEnd known = ends.get(end.name());
            if (known != null && known.end.covers(end)) {
                return;
            }
            ends.remove(end.name());
            ends.put(end.name(), new RecordedEnd(end, at));
        }
        listener.accept(end);
    }

    private void removeExpired(long now) {
        Iterator<RecordedEnd> oldest = ends.values().iterator();
        while (oldest.hasNext()) {
            boolean expired = now - oldest.next().at > RETENTION_MILLIS;
            if (!expired && ends.size() < MAX_ENDS) {
                return;
            }
            oldest.remove();
        }
    }

    /**
     * Returns whether an end is recorded.
     *
     * @param end the end
     * @return true if recording it again would change nothing
     */
    public synchronized boolean contains(TargetEnd end) {
        RecordedEnd known = ends.get(end.name());
        return known != null && known.end.covers(end);
    }

    /**
     * Applies the recorded end of a target to one of its records.
     *
     * @param record the record
     * @return the record, that of an ended target if its start has ended
     */
    public synchronized TargetRecord apply(TargetRecord record) {
        RecordedEnd known = ends.get(TargetIds.name(record.instance()));
        return known == null ? record : known.end.applyTo(record);
    }

    /**
     * Returns all ends in the order of their times.
     *
     * @return the ends
     */
    public synchronized List<RecordedEnd> list() {
        return new ArrayList<>(ends.values());
    }

    /**
     * Replaces all ends.
     *
     * @param recorded the ends in the order of their times
     */
    public void restore(Collection<RecordedEnd> recorded) {
        synchronized (this) {
            ends.clear();
            recorded.forEach(r -> ends.put(r.end.name(), r));
        }
        recorded.forEach(r -> listener.accept(r.end));
    }

    /**
     * An end with its time.
     *
     * @param end the end
     * @param at the leader's wall clock when it was recorded, in milliseconds since the epoch
     */
    public record RecordedEnd(TargetEnd end, long at) {}
}
