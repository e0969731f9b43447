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
package org.hallwall.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.PoissonSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.hallwall.serving.decision.Mechanism;
import org.hallwall.serving.decision.Mechanisms;
import org.hallwall.serving.relay.StreamCapacity;

/** Runs one scenario on a virtual clock. */
public final class SimulationRun {

    /** Clock increment and period of the controller, in milliseconds. */
    private static final long TICK_MILLIS = 50;
    /** Age in ticks of the stream counts that the controller sees, where 1 is the current tick. */
    private static final int COUNT_DELAY_TICKS = 4;
    /** Delay before a refused caller retries, in milliseconds. */
    private static final long RETRY_AFTER_MILLIS = 1_200;
    /** Maximum number of heads that a stream is sent to. */
    private static final int MAX_ATTEMPTS = 4;
    /** Standard deviation of the logarithm of prompt and output lengths. */
    private static final double LENGTH_SIGMA = 0.8;
    /** Window in which refusals count as demand, in milliseconds. */
    private static final long REFUSAL_WINDOW_MILLIS = 2_000;

    private final SimulationScenario scenario;
    private final Mechanisms mechanisms;
    private final UniformRandomProvider random;
    private final SimulatedFleet fleet;
    private final SimulatedHeads heads;
    private final PriorityQueue<SimulatedStream> retries =
            new PriorityQueue<>(Comparator.comparingLong((SimulatedStream s) -> s.lastOrNextEventMillis));
    private final Map<String, Double> offeredWorth = new TreeMap<>();
    private final Map<String, Double> earnedWorth = new TreeMap<>();
    private final Map<String, List<Long>> refusalTimes = new HashMap<>();
    private final List<Map<String, Integer>> demandHistory = new ArrayList<>();
    private long now;
    private int requestCount;
    private int refusedCount;
    private int lateCount;
    private long nextLossMillis;
    private long nextAdditionMillis;

    private SimulationRun(SimulationScenario scenario, Mechanisms mechanisms, long seed) {
        this.scenario = scenario;
        this.mechanisms = mechanisms;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.fleet = new SimulatedFleet(scenario, mechanisms, RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1));
        this.heads =
                new SimulatedHeads(scenario.faults().unavailable(), RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 2));
        this.nextLossMillis = scenario.warmUpMillis() + jitter(scenario.faults().meanLossIntervalMillis());
        this.nextAdditionMillis =
                scenario.warmUpMillis() + 4 * jitter(scenario.faults().meanAdditionIntervalMillis());
    }

    /**
     * Runs a simulation.
     *
     * @param scenario the deployment and its load
     * @param mechanisms the enabled mechanisms
     * @param seed the random seed
     * @return the outcome
     */
    public static SimulationResult run(SimulationScenario scenario, Mechanisms mechanisms, long seed) {
        return new SimulationRun(scenario, mechanisms, seed).run();
    }

    private SimulationResult run() {
        long end = scenario.warmUpMillis() + scenario.durationMillis();
        for (now = TICK_MILLIS; now < end; now += TICK_MILLIS) {
            injectFaults();
            heads.advanceTo(now, now - scenario.warmUpMillis());
            fleet.advanceTo(now, demandByModel());
            for (SimulatedGroup r : fleet.groups()) {
                if (fleet.isStalled(r)) {
                    r.stallUntil(now);
                } else {
                    r.advanceTo(now, this::recordCompletion);
                }
            }
            fleet.removeStrandedStreams().forEach(this::reroute);
            if (now > scenario.warmUpMillis()) {
                generateArrivals();
            }
        }
        double offered = offeredWorth.values().stream().mapToDouble(d -> d).sum();
        double earned = earnedWorth.values().stream().mapToDouble(d -> d).sum();
        Map<String, Double> worthByClass = new TreeMap<>();
        offeredWorth.forEach((k, o) -> worthByClass.put(k, earnedWorth.getOrDefault(k, 0.0) / o));
        return new SimulationResult(
                earned / offered,
                (double) refusedCount / requestCount,
                (double) lateCount / requestCount,
                worthByClass,
                fleet.loadCount());
    }

    // --- faults

    private void injectFaults() {
        FaultSchedule t = scenario.faults();
        long elapsed = now - scenario.warmUpMillis();
        if (t.meanLossIntervalMillis() > 0 && now >= nextLossMillis && elapsed < t.endMillis()) {
            fleet.failRandomMember();
            nextLossMillis = now + jitter(t.meanLossIntervalMillis());
        }
        if (t.meanAdditionIntervalMillis() > 0 && now >= nextAdditionMillis && elapsed < t.endMillis()) {
            fleet.addEngine(-1);
            nextAdditionMillis = now + jitter(t.meanAdditionIntervalMillis());
        }
        if (t.outageStartMillis() >= 0
                && elapsed >= t.outageStartMillis()
                && elapsed < t.outageStartMillis() + TICK_MILLIS) {
            fleet.setDomainUnreachable(0, true);
        }
        if (t.outageStartMillis() >= 0
                && elapsed >= t.outageStartMillis() + t.outageDurationMillis()
                && elapsed < t.outageStartMillis() + t.outageDurationMillis() + TICK_MILLIS) {
            fleet.setDomainUnreachable(0, false);
        }
    }

    private long jitter(long mean) {
        return (long) (mean * (0.5 + random.nextDouble()));
    }

    // --- callers

    private void generateArrivals() {
        for (RequestClass k : scenario.requestClasses()) {
            int n = PoissonSampler.of(random, k.arrivalsPerSecond() * TICK_MILLIS / 1_000)
                    .sample();
            for (int i = 0; i < n; i++) {
                SimulatedStream s = new SimulatedStream(
                        k, now, sampleLength(k.meanPromptTokens()), sampleLength(k.meanOutputTokens()));
                requestCount++;
                offeredWorth.merge(k.name(), k.worth(), Double::sum);
                admit(s);
            }
        }
        while (!retries.isEmpty() && retries.peek().lastOrNextEventMillis <= now) {
            admit(retries.poll());
        }
    }

    private double sampleLength(double mean) {
        ZigguratSampler.NormalizedGaussian gauss = ZigguratSampler.NormalizedGaussian.of(random);
        return LogNormalSampler.of(gauss, Math.log(mean) - LENGTH_SIGMA * LENGTH_SIGMA / 2, LENGTH_SIGMA)
                .sample();
    }

    private void admit(SimulatedStream s) {
        heads.recordDemand(fleet.openGroups(s.requestClass.model()));
        List<SimulatedGroup> open = availableGroups(s);
        int slots = open.stream().mapToInt(SimulatedGroup::slots).sum();
        int active = open.stream().mapToInt(SimulatedGroup::activeStreams).sum();
        boolean isRetry = s.retried && mechanisms.isEnabled(Mechanism.RETURNS_LAST);
        boolean hasCapacity = !open.isEmpty() && StreamCapacity.hasCapacity(active, slots, isRetry);
        if (hasCapacity && dispatch(s, open)) {
            return;
        }
        if (s.retried) {
            refusedCount++;
        } else {
            s.retried = true;
            s.lastOrNextEventMillis = now + RETRY_AFTER_MILLIS;
            retries.add(s);
            refusalTimes
                    .computeIfAbsent(s.requestClass.model(), m -> new ArrayList<>())
                    .add(now);
        }
    }

    /** Returns the groups that serve the stream's model and whose head is available. */
    private List<SimulatedGroup> availableGroups(SimulatedStream s) {
        List<SimulatedGroup> out = new ArrayList<>(fleet.openGroups(s.requestClass.model()));
        out.removeIf(g -> !heads.isAvailable(g));
        return out;
    }

    /** Sends a stream to one group after the other until one accepts it. */
    private boolean dispatch(SimulatedStream s, List<SimulatedGroup> groups) {
        for (int i = 0; i < MAX_ATTEMPTS && !groups.isEmpty(); i++) {
            SimulatedGroup g = chooseGroup(groups);
            if (heads.trySend(g)) {
                g.addStream(s, now);
                return true;
            }
            groups.remove(g);
        }
        return false;
    }

    private SimulatedGroup chooseGroup(List<SimulatedGroup> groups) {
        if (groups.size() == 1) {
            return groups.get(0);
        }
        SimulatedGroup a = groups.get(random.nextInt(groups.size()));
        SimulatedGroup b = groups.get(random.nextInt(groups.size()));
        return a.activeStreams() <= b.activeStreams() ? a : b;
    }

    /** Moves a stream whose group no longer serves to another group, or counts it as refused. */
    private void reroute(SimulatedStream s) {
        s.resetPrefill();
        if (!dispatch(s, availableGroups(s))) {
            refusedCount++;
        }
    }

    private void recordCompletion(SimulatedStream s) {
        lateCount += s.late ? 1 : 0;
        earnedWorth.merge(
                s.requestClass.name(), s.late ? s.requestClass.lateWorth() : s.requestClass.worth(), Double::sum);
    }

    /** Returns the active streams by model, including an estimate for recent refusals, delayed by {@link #COUNT_DELAY_TICKS}. */
    private Map<String, Integer> demandByModel() {
        Map<String, Integer> out = new HashMap<>();
        for (SimulatedGroup r : fleet.groups()) {
            out.merge(r.model(), r.activeStreams(), Integer::sum);
        }
        if (mechanisms.isEnabled(Mechanism.REFUSED_DEMAND)) {
            refusalTimes.forEach((m, list) -> {
                list.removeIf(refusedAt -> now - refusedAt > REFUSAL_WINDOW_MILLIS);
                out.merge(m, (int) (list.size() * 1_000 / REFUSAL_WINDOW_MILLIS), Integer::sum);
            });
        }
        demandHistory.add(out);
        return demandHistory.get(Math.max(0, demandHistory.size() - COUNT_DELAY_TICKS));
    }
}
