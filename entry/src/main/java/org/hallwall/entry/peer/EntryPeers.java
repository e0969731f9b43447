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
package org.hallwall.entry.peer;

import java.io.Closeable;
import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.domain.DomainPeers;
import org.hallwall.entry.EntrySettings;
import org.hallwall.entry.claim.ClaimPeers;
import org.hallwall.resource.ResourceMessage.FormDomain;
import org.hallwall.resource.ResourceMessage.FormedDomain;
import org.hallwall.wire.PeerCodec;
import org.hallwall.wire.PeerLink;
import org.hallwall.wire.PeerMessage;
import org.hallwall.wire.PeerTraffic;
import reactor.core.publisher.Mono;

/** The connections of an entry to the voters and to the other entries of its failure domain. */
public final class EntryPeers implements DomainPeers, ClaimPeers, Closeable {

    private static final Duration FORM_TIMEOUT = Duration.ofSeconds(5);

    private final InstanceId self;
    private final Map<InstanceId, PeerLink> entries = new LinkedHashMap<>();
    private final Map<InstanceId, PeerLink> voters = new LinkedHashMap<>();
    private final Consumer<PeerMessage> localReceiver;

    /**
     * Creates the links and starts to connect them.
     *
     * @param settings the settings of the entry
     * @param codec the codec of peer messages
     * @param localReceiver receives the messages that this entry sends to itself
     */
    public EntryPeers(EntrySettings settings, PeerCodec codec, Consumer<PeerMessage> localReceiver) {
        this.self = settings.instance();
        this.localReceiver = localReceiver;
        for (EntrySettings.Peer p : settings.domainEntries()) {
            if (!p.instance().equals(self)) {
                entries.put(p.instance(), new PeerLink(p.peer(), settings.fleet(), self, codec));
            }
        }
        for (EntrySettings.Peer p : settings.voters()) {
            voters.put(p.instance(), new PeerLink(p.peer(), settings.fleet(), self, codec));
        }
    }

    @Override
    public Set<InstanceId> otherEntries() {
        return entries.keySet();
    }

    @Override
    public void send(InstanceId to, PeerMessage message) {
        if (to.equals(self)) {
            localReceiver.accept(message);
            return;
        }
        PeerLink link = entries.get(to);
        if (link != null) {
            link.send(message);
        }
    }

    @Override
    public void sendToVoters(PeerMessage message) {
        voters.values().forEach(l -> l.send(message));
    }

    @Override
    public Mono<PeerMessage> call(InstanceId to, PeerMessage message, Duration timeout) {
        return entries.get(to).call(message, timeout);
    }

    /**
     * Proposes the boot ids of the entries to the voters, which record those of the first formation of the domain.
     *
     * @param domain the failure domain
     * @param boots the current boot ids of its entries; empty to query only
     * @return the boot ids of the first formation, or an error if no voter knows them
     */
    public Mono<List<String>> formDomain(FailureDomainId domain, List<String> boots) {
        Mono<List<String>> reply = Mono.error(new IOException("no voter replied"));
        for (PeerLink voter : voters.values()) {
            reply = reply.onErrorResume(e -> voter.call(new FormDomain(domain, boots), FORM_TIMEOUT)
                    .cast(FormedDomain.class)
                    .map(FormedDomain::boots)
                    .filter(b -> !b.isEmpty())
                    .switchIfEmpty(Mono.error(e)));
        }
        return reply;
    }

    /**
     * Returns the links to the other entries.
     *
     * @return the links
     */
    public List<PeerLink> entryLinks() {
        return List.copyOf(entries.values());
    }

    /**
     * Returns the links to the voters.
     *
     * @return the links
     */
    public List<PeerLink> voterLinks() {
        return List.copyOf(voters.values());
    }

    /**
     * Returns the number of reachable entries of the failure domain, including this one.
     *
     * @return the number of entries
     */
    public int liveEntryCount() {
        int n = 1;
        for (PeerLink l : entries.values()) {
            n += l.isUp() ? 1 : 0;
        }
        return n;
    }

    /**
     * Returns the traffic counters for a diagnostic dump.
     *
     * @return the traffic of each link by instance id
     */
    public Map<String, PeerTraffic> traffic() {
        Map<String, PeerTraffic> out = new LinkedHashMap<>();
        entries.forEach((k, v) -> out.put(k.value(), v.traffic()));
        voters.forEach((k, v) -> out.put(k.value(), v.traffic()));
        return out;
    }

    @Override
    public void close() {
        entries.values().forEach(PeerLink::close);
        voters.values().forEach(PeerLink::close);
    }
}
