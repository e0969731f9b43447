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
 * The last announcement of a target.
 *
 * @param instance the target and its start, see {@link TargetIds}
 * @param sequence the number of the announcement; increases with every announcement
 * @param service the target's service
 * @param address the address for requests and orders
 * @param failureDomain the failure domain
 * @param slots the number of requests that it runs concurrently
 * @param presence whether it serves, leaves or is gone
 * @param fabricDomain the fabric domain; null for a plain service
 * @param model the loaded model; null if none
 * @param staged the models that are staged on its host
 * @param group its group membership; null if it has none
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
        GroupMembership group) {

    /** Whether a target accepts new requests. */
    public enum Presence {
        /** Accepts requests. */
        SERVING,
        /** Finishes its requests and accepts no new ones. */
        LEAVING,
        /** Has announced its shutdown. */
        GONE,
        /** Has restarted; a later start of the target is known. */
        REPLACED;

        /** Returns whether this start has ended. */
        boolean isOver() {
            return this == GONE || this == REPLACED;
        }
    }

    /**
     * Returns whether the target accepts new requests.
     *
     * @return true if it does
     */
    public boolean isServing() {
        return presence == Presence.SERVING;
    }

    /**
     * Returns whether the target has shut down or restarted.
     *
     * @return true if this start has ended
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
     * Copies the record with another group membership.
     *
     * @param membership the membership of the copy; null for none
     * @param loaded the loaded model of the copy; null for none
     * @return the copy
     */
    public TargetRecord withGroup(GroupMembership membership, String loaded) {
        return new TargetRecord(
                instance,
                sequence,
                service,
                address,
                failureDomain,
                slots,
                presence,
                fabricDomain,
                loaded,
                staged,
                membership);
    }

    /**
     * Copies the record for a start that a later one has replaced.
     *
     * @return the copy, which no announcement supersedes
     */
    TargetRecord asReplaced() {
        return with(Long.MAX_VALUE, Presence.REPLACED);
    }

    /**
     * Returns whether another record is equal except for its sequence.
     *
     * @param other the other record; may be null
     * @return true if only the sequence differs
     */
    public boolean equalsIgnoringSequence(TargetRecord other) {
        return other != null && with(other.sequence(), presence).equals(other);
    }
}
