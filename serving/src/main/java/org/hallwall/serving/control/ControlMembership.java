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
package org.hallwall.serving.control;

import java.io.Closeable;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.log.LogVoter;
import org.hallwall.log.ReplicaState;
import org.hallwall.serving.target.FeedMessage.ControlMember;
import org.hallwall.serving.target.FeedMessage.JoinRequest;
import org.hallwall.serving.target.FeedMessage.Members;
import org.hallwall.serving.target.FeedMessage.MembersRequest;
import org.hallwall.wire.PeerLink;
import org.jboss.logging.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/**
 * Monitors the voters of the log, and requests admission if this instance is not one of them.
 *
 * <p>An instance without a known leader queries the other voters, since it may have been replaced while it was down.
 */
final class ControlMembership implements Closeable {

    private static final Logger LOG = Logger.getLogger(ControlMembership.class);
    private static final long CHECK_INTERVAL_MILLIS = 400;
    /** The time without a leader after which the other voters are queried, in milliseconds: longer than most elections. */
    private static final long LEADERLESS_MILLIS = 800;

    private static final Duration QUERY_TIMEOUT = Duration.ofMillis(400);

    private final ControlNodeSettings settings;
    private final Function<InstanceId, PeerLink> links;
    private final Consumer<InstanceId> voterListener;
    private final Ticker ticker;
    private LogVoter voter;
    private Disposable checkTask;
    private long lastLeaderAt;
    private volatile boolean replaced;
    private volatile List<InstanceId> reportedVoters = List.of();
    private volatile List<InstanceId> seeds;

    ControlMembership(
            ControlNodeSettings settings,
            Function<InstanceId, PeerLink> links,
            Consumer<InstanceId> follow,
            Ticker ticker) {
        this.settings = settings;
        this.links = links;
        this.voterListener = follow;
        this.ticker = ticker;
        setSeeds(settings.seeds());
    }

    /** Sets the instances that are queried besides the known voters, which may all be gone. */
    void setSeeds(List<ControlMember> updated) {
        seeds = updated.stream().map(ControlMember::instance).toList();
    }

    void start(LogVoter logVoter) {
        voter = logVoter;
        // the first check queries at once, so that a removed instance joins again soon after a restart
        lastLeaderAt = ticker.millis() - LEADERLESS_MILLIS - 1;
        checkTask = Schedulers.parallel()
                .schedulePeriodically(this::checkMembership, 0, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns whether another voter has reported that this instance was replaced. */
    boolean wasReplaced() {
        return replaced;
    }

    @Override
    public void close() {
        if (checkTask != null) {
            checkTask.dispose();
        }
    }

    private void checkMembership() {
        ReplicaState state = voter.state();
        InstanceId self = settings.self().instance();
        List<InstanceId> others =
                state.voters().stream().filter(v -> !v.equals(self)).toList();
        others.forEach(voterListener);
        long now = ticker.millis();
        if (state.leader() != null) {
            lastLeaderAt = now;
            replaced = false;
        }
        if (!state.voters().contains(self) || replaced) {
            reachable(others).forEach(o -> links.apply(o).send(new JoinRequest(self)));
        } else if (now - lastLeaderAt > LEADERLESS_MILLIS) {
            queryWhetherReplaced(self, reachable(others));
        }
    }

    /** Returns the known voters, those that another instance has reported, and the seeds, without this instance. */
    private Set<InstanceId> reachable(List<InstanceId> others) {
        Set<InstanceId> out = new LinkedHashSet<>(others);
        out.addAll(reportedVoters);
        out.addAll(seeds);
        out.remove(settings.self().instance());
        return out;
    }

    private void queryWhetherReplaced(InstanceId self, Set<InstanceId> others) {
        Flux.fromIterable(others)
                .flatMap(o -> links.apply(o)
                        .call(new MembersRequest(self), QUERY_TIMEOUT)
                        .cast(Members.class)
                        .onErrorResume(e -> Mono.empty()))
                .filter(m -> !m.members().isEmpty())
                .map(m -> m.members().stream().map(ControlMember::instance).toList())
                .filter(m -> !m.contains(self))
                .next()
                .subscribe(m -> {
                    LOG.warnf("control: %s was replaced while it was down, the voters are %s", self, m);
                    reportedVoters = m;
                    replaced = true;
                });
    }
}
