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

import java.util.List;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;

/**
 * What a target has announced last.
 *
 * @param instance the target and its start, see {@link StartedTarget}
 * @param sequence the number of the announcement; a later one is higher
 * @param service its service
 * @param address where it takes requests and orders
 * @param failureDomain its failure domain
 * @param slots how many requests it runs at once
 * @param presence whether it serves, leaves or is gone
 * @param fabricDomain the fabric domain; null for a plain service
 * @param model the model that it holds; null if none
 * @param staged the models on its host
 * @param group its place in a group; null if it has none
 */
public record TargetRecord(
        InstanceId instance,
        long sequence,
        String service,
        NetAddress address,
        String failureDomain,
        int slots,
        Presence presence,
        String fabricDomain,
        String model,
        List<String> staged,
        GroupMark group) {

    /** Whether a target takes new work. */
    public enum Presence {
        /** It takes work. */
        SERVING,
        /** It finishes what it has. */
        LEAVING,
        /** It has said that it ends. */
        GONE,
        /** It has started again under its name; of this start nothing is left. */
        REPLACED;

        /** Says whether nothing is heard of it any more. */
        boolean isOver() {
            return this == GONE || this == REPLACED;
        }
    }

    /**
     * Says whether the target takes new work.
     *
     * @return true if it does
     */
    public boolean isServing() {
        return presence == Presence.SERVING;
    }

    /**
     * Says whether the target has ended, or has started again since.
     *
     * @return true if it holds nothing any more
     */
    public boolean isOver() {
        return presence.isOver();
    }

    /**
     * Copies the record with another presence.
     *
     * @param later the sequence of the copy
     * @param changed the presence of the copy
     * @return the copy
     */
    public TargetRecord with(long later, Presence changed) {
        return new TargetRecord(
                instance, later, service, address, failureDomain, slots, changed, fabricDomain, model, staged, group);
    }

    /**
     * Copies the record as that of a start that a later one has replaced.
     *
     * @return the copy, which nothing follows
     */
    TargetRecord replaced() {
        return with(Long.MAX_VALUE, Presence.REPLACED);
    }

    /**
     * Says whether another record tells the same, whatever its sequence.
     *
     * @param other the other record
     * @return true if nothing but the sequence differs
     */
    public boolean tellsTheSame(TargetRecord other) {
        return other != null && with(other.sequence(), presence).equals(other);
    }
}
