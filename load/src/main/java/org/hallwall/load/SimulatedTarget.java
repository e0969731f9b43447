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
import org.hallwall.core.id.FencingToken;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.domain.AnnouncedTarget;
import org.hallwall.engine.Announcement;
import org.hallwall.engine.GroupMembership;
import org.hallwall.engine.TargetLoad;

/** A simulated target that fails, recovers without weights, joins and leaves groups and loads weights. */
final class SimulatedTarget {

    static final int ACCELERATORS = 4;
    private static final FailureDomainId DOMAIN = new FailureDomainId("d");
    private static final NetAddress ADDRESS = new NetAddress("127.0.0.1", 1);

    private final InstanceId id;
    private final FabricDomainId fabricDomain;
    private long downUntil;
    private long lastAnnouncedMillis;
    private long sequence;
    private GroupMembership membership;
    private String loadedVersion;
    private String loadingVersion;
    private long loadEndMillis;

    SimulatedTarget(InstanceId id, FabricDomainId fabric) {
        this.id = id;
        this.fabricDomain = fabric;
    }

    InstanceId id() {
        return id;
    }

    FabricDomainId fabricDomain() {
        return fabricDomain;
    }

    boolean isUp(long now) {
        return now >= downUntil;
    }

    void fail(long until) {
        downUntil = Math.max(downUntil, until);
        membership = null;
        loadedVersion = null;
        loadingVersion = null;
    }

    void join(GroupMembership m, String version, long ready) {
        membership = m;
        boolean isLoaded = version.equals(loadedVersion);
        loadingVersion = isLoaded ? null : version;
        loadedVersion = isLoaded ? loadedVersion : null;
        loadEndMillis = ready;
    }

    /**
     * Leaves the group.
     *
     * @param restarts whether the engine restarts and loses its weights
     */
    void leave(boolean restarts) {
        membership = null;
        loadedVersion = restarts ? null : loadedVersion;
        loadingVersion = restarts ? null : loadingVersion;
    }

    boolean hasLoaded(String version) {
        return version.equals(loadedVersion);
    }

    GroupMembership membership() {
        return membership;
    }

    void step(long now) {
        if (loadingVersion != null && now >= loadEndMillis) {
            loadedVersion = loadingVersion;
            loadingVersion = null;
        }
        if (isUp(now)) {
            lastAnnouncedMillis = now;
            sequence++;
        }
    }

    AnnouncedTarget toKnownTarget() {
        GroupMembership m = membership == null
                ? null
                : new GroupMembership(
                        membership.group(),
                        membership.modelGroup(),
                        membership.fencing(),
                        membership.members(),
                        loadingVersion == null);
        Announcement a = new Announcement(
                id,
                "boot",
                sequence,
                DOMAIN,
                fabricDomain,
                ACCELERATORS,
                ADDRESS,
                true,
                null,
                m,
                FencingToken.NONE,
                loadedVersion == null ? null : "m",
                loadedVersion,
                List.of(),
                m == null ? null : "BOTH",
                TargetLoad.NONE,
                false);
        return new AnnouncedTarget(a, lastAnnouncedMillis);
    }
}
