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
package org.hallwall.serving.relay;

import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.reachability.PartitionDetector;
import org.hallwall.serving.reachability.TargetLinks;
import org.hallwall.serving.target.FeedMessage.AvailableEntry;

/**
 * Decides which requests are forwarded to another entry because this one cannot connect to their targets, and selects
 * the entry. A request is forwarded once: an entry that receives it from another one does not forward it again.
 */
final class EntryForwarder {

    /** Targets to which a request could not be sent before it is forwarded. */
    private static final int MAX_UNREACHABLE_ATTEMPTS = 2;

    private final TargetLinks links;
    private final Supplier<List<AvailableEntry>> entries;
    private final Balancer balancer;
    private final EntryClient client;

    /**
     * Creates a forwarder.
     *
     * @param links the links to the targets
     * @param entries supplies the entries that accept requests
     * @param balancer selects one of them
     * @param client sends requests to entries
     */
    EntryForwarder(TargetLinks links, Supplier<List<AvailableEntry>> entries, Balancer balancer, EntryClient client) {
        this.links = links;
        this.entries = entries;
        this.balancer = balancer;
        this.client = client;
    }

    PartitionDetector detector() {
        return links.detector();
    }

    /** Returns whether the links to all targets are lost. */
    boolean isPartitioned() {
        return links.detector().isPartitioned();
    }

    /**
     * Returns whether a request should be sent to another entry.
     *
     * @param request the request
     * @param candidates the available targets of the request
     * @param tried the recipients already tried
     * @param unreachableAttempts the attempts that could not be sent
     * @return true if this entry is not likely to reach any of the remaining targets
     */
    boolean shouldForward(
            RelayRequest request, List<ServingTarget> candidates, Set<InstanceId> tried, int unreachableAttempts) {
        if (request.isForwarded()) {
            return false;
        }
        if (isPartitioned() || unreachableAttempts >= MAX_UNREACHABLE_ATTEMPTS) {
            return true;
        }
        return !candidates.isEmpty()
                && candidates.stream()
                        .allMatch(t -> tried.contains(t.instance())
                                || links.reachability().isUnreachable(t.instance()))
                && candidates.stream().anyMatch(t -> links.reachability().isUnreachable(t.instance()));
    }

    /**
     * Returns the candidates that this entry has not failed to connect to.
     *
     * @param candidates the available targets of a request
     * @param tried the recipients already tried
     * @return the reachable targets; all if none of the untried ones is reachable
     */
    List<ServingTarget> preferReachable(List<ServingTarget> candidates, Set<InstanceId> tried) {
        if (!links.reachability().hasUnreachable()) {
            return candidates;
        }
        List<ServingTarget> reachable = candidates.stream()
                .filter(t -> !links.reachability().isUnreachable(t.instance()))
                .toList();
        boolean anyLeft = reachable.stream().anyMatch(t -> !tried.contains(t.instance()));
        return anyLeft ? reachable : candidates;
    }

    /**
     * Selects an entry. One that has run the request at a target that failed is selected again if no other is left.
     *
     * @param tried the recipients already tried
     * @param failed the entries that have refused the request or were lost
     * @return the entry, or null if none is left
     */
    NextHop select(Set<InstanceId> tried, Set<InstanceId> failed) {
        List<ServingTarget> candidates =
                entries.get().stream().map(EntryForwarder::toTarget).toList();
        ServingTarget untried = balancer.choose(candidates, tried);
        ServingTarget entry = untried != null ? untried : balancer.choose(candidates, failed);
        return entry == null ? null : new EntryHop(entry, balancer.state(entry), client);
    }

    private static ServingTarget toTarget(AvailableEntry e) {
        return new ServingTarget(e.instance(), 0, e.forwarding(), e.failureDomain(), 0, null, null, 1);
    }
}
