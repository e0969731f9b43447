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

import java.util.Comparator;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.target.TargetRecord.Presence;

/**
 * The end of a target that was acknowledged: it applies to all starts up to one, whatever older announcements say.
 *
 * @param name the target's name
 * @param startMillis the latest start that ends, in milliseconds since the epoch
 * @param sequence the number of the announcement that says so; the maximum if there is none
 * @param presence {@link Presence#LEAVING} or {@link Presence#GONE}
 */
public record TargetEnd(String name, long startMillis, long sequence, Presence presence) {

    private static final Comparator<TargetEnd> ORDER =
            Comparator.comparingLong(TargetEnd::startMillis).thenComparing(TargetEnd::presence);

    /** Rejects names that no target can have. */
    public TargetEnd {
        TargetIds.id(name, startMillis);
    }

    /**
     * Creates the end of a target that has announced that it leaves.
     *
     * @param leaving its announcement
     * @return the end
     */
    public static TargetEnd of(TargetRecord leaving) {
        return new TargetEnd(
                TargetIds.name(leaving.instance()),
                TargetIds.startMillis(leaving.instance()),
                leaving.sequence(),
                Presence.LEAVING);
    }

    /**
     * Creates the end of a target that has shut down.
     *
     * @param name the target's name
     * @param startMillis its latest start, in milliseconds since the epoch
     * @return the end
     */
    public static TargetEnd shutdown(String name, long startMillis) {
        return new TargetEnd(name, startMillis, Long.MAX_VALUE, Presence.GONE);
    }

    /**
     * Returns whether this end says at least as much as another one of the same target.
     *
     * @param other the other end
     * @return true if the other one adds nothing
     */
    public boolean covers(TargetEnd other) {
        return ORDER.compare(this, other) >= 0;
    }

    /**
     * Returns whether a start of the target has ended.
     *
     * @param start the id of the start
     * @return false for a later start
     */
    public boolean includes(InstanceId start) {
        return TargetIds.startMillis(start) <= startMillis;
    }

    /**
     * Applies the end to a record of the target.
     *
     * @param record the record
     * @return the record as it is, or that of an ended target if its start is covered
     */
    public TargetRecord applyTo(TargetRecord record) {
        if (!includes(record.instance()) || record.presence().compareTo(presence) >= 0) {
            return record;
        }
        return record.with(Math.max(record.sequence(), sequence), presence);
    }
}
