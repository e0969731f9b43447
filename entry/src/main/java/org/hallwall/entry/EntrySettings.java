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
package org.hallwall.entry;

import java.util.List;

import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.entry.routing.RoutingPolicy;
import org.hallwall.program.DaemonSettings;
import org.hallwall.program.LogFormat;

/**
 * The settings of an entry.
 *
 * @param fleet the name of the fleet
 * @param instance this instance
 * @param failureDomain its failure domain
 * @param callers where callers connect
 * @param targets where targets announce themselves
 * @param peer where other processes of the project connect
 * @param admin where the admin port listens
 * @param domainEntries all entries of the failure domain, this one included
 * @param voters the voters
 * @param otherDomains the entries of the other failure domains
 * @param routingPolicy how a group is chosen
 * @param maxLoads how many targets of the failure domain may load weights at once; zero for no bound
 * @param maxBodyBytes the largest body that is accepted
 * @param maxQueued how many requests may wait at this entry
 * @param stopMillis how long a planned stop waits for requests in progress
 * @param logFormat the form of the log
 * @param logLevel the least level logged
 */
public record EntrySettings(
        String fleet,
        InstanceId instance,
        FailureDomainId failureDomain,
        NetAddress callers,
        NetAddress targets,
        NetAddress peer,
        NetAddress admin,
        List<Peer> domainEntries,
        List<Peer> voters,
        List<OtherDomain> otherDomains,
        RoutingPolicy routingPolicy,
        Integer maxLoads,
        Integer maxBodyBytes,
        Integer maxQueued,
        Long stopMillis,
        LogFormat logFormat,
        String logLevel)
        implements DaemonSettings {

    private static final int USUAL_BODY_BYTES = 4 * 1024 * 1024;
    private static final int USUAL_QUEUED = 1_000;
    private static final long USUAL_STOP_MILLIS = 120_000;

    /** Fills in what the file leaves out. */
    public EntrySettings {
        otherDomains = otherDomains == null ? List.of() : List.copyOf(otherDomains);
        routingPolicy = routingPolicy == null ? RoutingPolicy.PREFIX_AFFINITY : routingPolicy;
        maxLoads = maxLoads == null ? 0 : maxLoads;
        maxBodyBytes = maxBodyBytes == null ? USUAL_BODY_BYTES : maxBodyBytes;
        maxQueued = maxQueued == null ? USUAL_QUEUED : maxQueued;
        stopMillis = stopMillis == null ? USUAL_STOP_MILLIS : stopMillis;
        logFormat = logFormat == null ? LogFormat.TEXT : logFormat;
        logLevel = logLevel == null ? "INFO" : logLevel;
    }

    /**
     * Another process of the project.
     *
     * @param instance its name
     * @param peer its peer address
     * @param callers where it takes callers; null for a voter
     */
    public record Peer(InstanceId instance, NetAddress peer, NetAddress callers) {}

    /**
     * Another failure domain.
     *
     * @param failureDomain its name
     * @param entries its entries
     */
    public record OtherDomain(FailureDomainId failureDomain, List<OtherEntry> entries) {}

    /**
     * An entry of another failure domain.
     *
     * @param callers where it takes callers
     * @param targets where it takes announcements, and runs of other entries
     */
    public record OtherEntry(NetAddress callers, NetAddress targets) {}
}
