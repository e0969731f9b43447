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
package org.hallwall.load;

import java.util.List;

import org.hallwall.core.id.FabricDomainId;
import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.id.FencingNumber;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.domain.KnownTarget;
import org.hallwall.engine.Announcement;
import org.hallwall.engine.GroupMembership;
import org.hallwall.engine.TargetLoad;

/** A target in the comparison of policies: it dies, comes back empty, takes orders and loads weights. */
final class PolicyTarget {

    static final int ACCELERATORS = 4;
    private static final FailureDomainId DOMAIN = new FailureDomainId("d");
    private static final NetAddress ADDRESS = new NetAddress("127.0.0.1", 1);

    private final InstanceId id;
    private final FabricDomainId fabric;
    private long downUntil;
    private long heardAt;
    private long sequence;
    private GroupMembership joined;
    private String held;
    private String loading;
    private long loadedAt;

    PolicyTarget(InstanceId id, FabricDomainId fabric) {
        this.id = id;
        this.fabric = fabric;
    }

    InstanceId id() {
        return id;
    }

    FabricDomainId fabric() {
        return fabric;
    }

    boolean isUp(long now) {
        return now >= downUntil;
    }

    void fail(long until) {
        downUntil = Math.max(downUntil, until);
        joined = null;
        held = null;
        loading = null;
    }

    void join(GroupMembership m, String version, long ready) {
        joined = m;
        boolean has = version.equals(held);
        loading = has ? null : version;
        held = has ? held : null;
        loadedAt = ready;
    }

    /**
     * Leaves its group.
     *
     * @param restarts whether the engine restarts with it and forgets its weights
     */
    void leave(boolean restarts) {
        joined = null;
        held = restarts ? null : held;
        loading = restarts ? null : loading;
    }

    boolean holds(String version) {
        return version.equals(held);
    }

    GroupMembership joined() {
        return joined;
    }

    void step(long now) {
        if (loading != null && now >= loadedAt) {
            held = loading;
            loading = null;
        }
        if (isUp(now)) {
            heardAt = now;
            sequence++;
        }
    }

    KnownTarget known() {
        GroupMembership m = joined == null
                ? null
                : new GroupMembership(
                        joined.group(), joined.modelGroup(), joined.fencing(), joined.members(), loading == null);
        Announcement a = new Announcement(
                id,
                "boot",
                sequence,
                DOMAIN,
                fabric,
                ACCELERATORS,
                ADDRESS,
                true,
                null,
                m,
                FencingNumber.NONE,
                held == null ? null : "m",
                held,
                List.of(),
                m == null ? null : "BOTH",
                TargetLoad.NONE,
                false);
        return new KnownTarget(a, heardAt);
    }
}
