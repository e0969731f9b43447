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
import org.hallwall.core.id.FencingNumber;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.id.ServiceId;
import org.hallwall.core.settings.NetAddress;

/**
 * What a target says of itself, about twice a second.
 *
 * @param instance the target
 * @param boot a random text that changes when the target restarts
 * @param sequence a number that grows with each announcement of one boot
 * @param failureDomain its failure domain
 * @param fabricDomain its fabric domain; null for a plain service
 * @param accelerators how many accelerators it has
 * @param address where it takes orders, runs or calls
 * @param checksFencing whether it refuses an order with an old fencing number
 * @param service the plain service that it offers; null for a model engine
 * @param membership the group it is in; null if none
 * @param fencing the highest fencing number it has taken
 * @param model the model whose weights it holds; null if none
 * @param version the version of these weights; null if none
 * @param adapters the adapters that it holds
 * @param role the role that it was ordered to have; null if none
 * @param load its load
 * @param leaving whether it is about to stop and must get no new work
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
        FencingNumber fencing,
        String model,
        String version,
        List<String> adapters,
        String role,
        TargetLoad load,
        boolean leaving) {

    /**
     * Gives the same announcement with another sequence and load.
     *
     * @param newSequence the sequence
     * @param newLoad the load
     * @return the announcement
     */
    public Announcement repeated(long newSequence, TargetLoad newLoad) {
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
     * Hashes all but the sequence and the load; the same in every process.
     *
     * @return the hash
     */
    public int contentHash() {
        byte[] text = repeated(0, new TargetLoad(0, 0, load.slots())).toString().getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash32x86(text);
    }

    /** Fills in what an announcement leaves out. */
    public Announcement {
        if (instance == null || boot == null || failureDomain == null || address == null) {
            throw new IllegalArgumentException("instance, boot, failureDomain and address are needed");
        }
        fencing = fencing == null ? FencingNumber.NONE : fencing;
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
        load = load == null ? TargetLoad.NONE : load;
    }
}
