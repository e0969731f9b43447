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
package org.hallwall.serving.reachability;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Supplier;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.core.time.Ticker;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Detects that this process is partitioned from the targets. A single failed connection does not tell a failed target
 * from a lost link; on a suspicion, connections to several targets are attempted at once. If none can be established,
 * the links count as lost until one can. Used on one thread, except for {@link #isPartitioned()}.
 */
public final class PartitionDetector {

    private static final Logger LOG = Logger.getLogger(PartitionDetector.class);

    /** Targets to which connections are attempted at the same time; from different failure domains where possible. */
    private static final int PROBED_TARGETS = 3;

    /** Exceeds the round trip between regions. */
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(200);

    /** Interval between attempts during a partition, in milliseconds. */
    private static final long PROBE_INTERVAL_MILLIS = 250;

    /** Interval between attempts to reach a lost target again, in milliseconds. */
    private static final long RECHECK_INTERVAL_MILLIS = 250;

    /** Time after an attempt that found no partition before another one may be made, in milliseconds. */
    private static final long MIN_PROBE_INTERVAL_MILLIS = 1_000;

    /** Time without a connection after which a partition is suspected, in milliseconds. */
    private static final long SLOW_CONNECT_MILLIS = 80;

    /** Time without any data from targets after which their silence is suspicious, in milliseconds. */
    private static final long SILENCE_MILLIS = 100;

    private final Supplier<List<TargetEndpoint>> targets;
    private final BiFunction<NetAddress, Duration, Mono<ConnectResult>> connector;
    private final TargetReachability reachability;
    private final ScheduledExecutorService executor;
    private final Random random;
    private final Ticker ticker;
    private Runnable listener = () -> {};
    private boolean probing;
    private boolean recheckScheduled;
    private long lastFoundReachableAt = Long.MIN_VALUE / 2;
    private long lastReceivedAt = Long.MIN_VALUE / 2;
    private volatile boolean partitioned;
    private volatile long partitionedAt;

    /**
     * Creates a detector that assumes no partition.
     *
     * @param targets supplies the targets that accept connections according to their announcements
     * @param connector attempts to connect to a target
     * @param reachability the record of contacts and failures
     * @param executor executes all tasks on one thread
     * @param random selects targets
     * @param ticker the clock
     */
    public PartitionDetector(
            Supplier<List<TargetEndpoint>> targets,
            BiFunction<NetAddress, Duration, Mono<ConnectResult>> connector,
            TargetReachability reachability,
            ScheduledExecutorService executor,
            Random random,
            Ticker ticker) {
        this.targets = targets;
        this.connector = connector;
        this.reachability = reachability;
        this.executor = executor;
        this.random = random;
        this.ticker = ticker;
    }

    /**
     * Sets the listener that is called after a partition has begun or ended.
     *
     * @param onChange the listener
     */
    public void setListener(Runnable onChange) {
        listener = onChange;
    }

    /**
     * Returns whether the links to all targets count as lost. Thread-safe.
     *
     * @return true during a partition
     */
    public boolean isPartitioned() {
        return partitioned;
    }

    /**
     * Returns the duration of the current partition. Thread-safe.
     *
     * @return the time since its detection in milliseconds; zero if there is none
     */
    public long partitionMillis() {
        return partitioned ? ticker.millis() - partitionedAt : 0;
    }

    /** Records that data was received from a target. */
    public void recordReceived() {
        lastReceivedAt = ticker.millis();
    }

    /** Suspects a partition because requests are outstanding and no target sends anything. */
    public void suspectSilence() {
        if (ticker.millis() - lastReceivedAt > SILENCE_MILLIS) {
            suspect();
        }
    }

    /**
     * Suspects a partition unless a connection is established soon.
     *
     * @return the pending suspicion, to be cancelled once there is a connection
     */
    public ScheduledFuture<?> suspectUnlessConnected() {
        return executor.schedule(this::suspect, SLOW_CONNECT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Suspects a partition, and verifies it unless targets have been found reachable recently. */
    public void suspect() {
        scheduleRecheck(RECHECK_INTERVAL_MILLIS);
        if (!partitioned && ticker.millis() - lastFoundReachableAt >= MIN_PROBE_INTERVAL_MILLIS) {
            verify();
        }
    }

    /**
     * Checks whether other targets accept connections.
     *
     * @param target the target to leave out
     * @param failureDomain the failure domain whose targets are checked; targets of others if it has none
     * @return false if there are other targets and none of those checked accepts a connection; never fails
     */
    public Mono<Boolean> reachesOthers(InstanceId target, String failureDomain) {
        List<TargetEndpoint> others = new ArrayList<>(targets.get());
        others.removeIf(t -> t.instance().equals(target));
        List<TargetEndpoint> near = others.stream()
                .filter(t -> t.failureDomain().equals(failureDomain))
                .toList();
        List<TargetEndpoint> checked = new ArrayList<>(near.isEmpty() ? others : near);
        Collections.shuffle(checked, random);
        return Flux.fromIterable(checked)
                .take(PROBED_TARGETS)
                .flatMap(this::probe)
                .any(r -> r == ConnectResult.CONNECTED)
                .map(reached -> reached || checked.isEmpty());
    }

    private void verify() {
        if (probing) {
            return;
        }
        List<TargetEndpoint> probed = selectTargets();
        if (probed.isEmpty()) {
            // without targets there is nothing to be partitioned from
            applyResult(true, 0);
            return;
        }
        probing = true;
        Flux.fromIterable(probed)
                .flatMap(this::probe)
                .any(r -> r == ConnectResult.CONNECTED)
                .subscribe(
                        reached -> executor.execute(() -> applyResult(reached, probed.size())),
                        e -> executor.execute(() -> applyResult(true, probed.size())));
    }

    private Mono<ConnectResult> probe(TargetEndpoint t) {
        long startedAt = ticker.millis();
        return connector.apply(t.address(), PROBE_TIMEOUT).doOnNext(r -> {
            if (r == ConnectResult.CONNECTED) {
                reachability.recordContact(t.instance(), startedAt);
            } else {
                reachability.recordConnectFailure(t.instance(), "probe: " + r);
            }
        });
    }

    private void applyResult(boolean reached, int probed) {
        probing = false;
        long now = ticker.millis();
        if (reached) {
            lastFoundReachableAt = now;
        }
        if (reached == partitioned) {
            logChange(reached, probed, now);
            partitioned = !reached;
            partitionedAt = now;
            listener.run();
        }
        if (partitioned) {
            executor.schedule(this::verify, PROBE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            scheduleRecheck(0);
        }
    }

    /** Unreachable targets get no requests, so connections show when they are reachable again. */
    private void scheduleRecheck(long delayMillis) {
        if (!recheckScheduled && reachability.hasUnreachable()) {
            recheckScheduled = true;
            executor.schedule(this::recheck, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void recheck() {
        List<TargetEndpoint> lost = targets.get().stream()
                .filter(t -> reachability.isUnreachable(t.instance()))
                .toList();
        if (partitioned || lost.isEmpty()) {
            recheckScheduled = false;
            return;
        }
        probe(lost.get(random.nextInt(lost.size())))
                .subscribe(r -> executor.execute(() -> {
                    recheckScheduled = false;
                    // where one link is back, others may be too
                    scheduleRecheck(r == ConnectResult.CONNECTED ? 0 : RECHECK_INTERVAL_MILLIS);
                }));
    }

    private void logChange(boolean reached, int probed, long now) {
        if (reached) {
            LOG.infof("reachability: the links to the targets are back after %d ms", now - partitionedAt);
        } else {
            LOG.warnf(
                    "reachability: none of %d probed targets accepts a connection, %d targets are unreachable; "
                            + "requests are forwarded to other entries",
                    probed, reachability.unreachableCount());
        }
    }

    /** Selects random targets, from as many failure domains as possible. */
    private List<TargetEndpoint> selectTargets() {
        List<TargetEndpoint> all = new ArrayList<>(targets.get());
        Collections.shuffle(all, random);
        Set<String> domains = new HashSet<>();
        List<TargetEndpoint> first = new ArrayList<>();
        List<TargetEndpoint> others = new ArrayList<>();
        for (TargetEndpoint t : all) {
            (domains.add(t.failureDomain()) ? first : others).add(t);
        }
        first.addAll(others);
        return first.subList(0, Math.min(PROBED_TARGETS, first.size()));
    }
}
