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
package org.hallwall.engine;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;
import org.hallwall.core.id.FabricDomainId;
import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.id.FencingToken;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.id.ServiceId;
import org.hallwall.core.settings.NetAddress;

/**
 * The state of a target, sent by the target about twice a second.
 *
 * @param instance the target
 * @param boot a random identifier that changes when the target restarts
 * @param sequence a sequence number that increases with each announcement of one boot
 * @param failureDomain its failure domain
 * @param fabricDomain its fabric domain; null for a plain service
 * @param accelerators the number of its accelerators
 * @param address the address at which it accepts orders, runs or calls
 * @param checksFencing whether it rejects orders with an outdated fencing number
 * @param service the plain service that it provides; null for a model engine
 * @param membership the group to which it belongs; null if none
 * @param fencing the highest fencing number that it has accepted
 * @param model the model whose weights are loaded; null if none
 * @param version the version of the loaded weights; null if none
 * @param adapters the loaded adapters
 * @param role the role assigned by its last order; null if none
 * @param load its current load
 * @param leaving whether it is about to stop and must receive no new work
 */
public record Announcement(
        InstanceId instance,
        String boot,
        long sequence,
        FailureDomainId failureDomain,
        FabricDomainId fabricDomain,
        int accelerators,
        NetAddress address,
        boolean checksFencing,
        ServiceId service,
        GroupMembership membership,
        FencingToken fencing,
        String model,
        String version,
        List<String> adapters,
        String role,
        TargetLoad load,
        boolean leaving) {

    /**
     * Returns a copy of this announcement with another sequence and load.
     *
     * @param newSequence the sequence
     * @param newLoad the load
     * @return the announcement
     */
    public Announcement withSequenceAndLoad(long newSequence, TargetLoad newLoad) {
        return new Announcement(
                instance,
                boot,
                newSequence,
                failureDomain,
                fabricDomain,
                accelerators,
                address,
                checksFencing,
                service,
                membership,
                fencing,
                model,
                version,
                adapters,
                role,
                newLoad,
                leaving);
    }

    /**
     * Returns a hash of the announcement without its sequence and its running and queued runs. The hash is the same in
     * every process.
     *
     * @return the hash
     */
    public int contentHash() {
        byte[] text = withSequenceAndLoad(0, new TargetLoad(0, 0, load.slots()))
                .toString()
                .getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash32x86(text);
    }

    /** Validates required values and applies default values. */
    public Announcement {
        if (instance == null || boot == null || failureDomain == null || address == null) {
            throw new IllegalArgumentException("instance, boot, failureDomain and address are required");
        }
        fencing = fencing == null ? FencingToken.NONE : fencing;
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
        load = load == null ? TargetLoad.NONE : load;
    }
}
