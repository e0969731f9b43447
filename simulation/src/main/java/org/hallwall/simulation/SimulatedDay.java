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
import org.hallwall.serving.relay.StreamRoom;

/** Plays one day of a site on a virtual clock. */
public final class SimulatedDay {

    /** The clock goes on by this, in milliseconds: as often as the controller takes a step. */
    private static final long TICK_MILLIS = 50;
    /** How old the counts are that streams are admitted by, in ticks. */
    private static final int COUNTS_OLD = 4;
    /** When callers retry after a refusal, in milliseconds. */
    private static final long RETRY_AFTER_MILLIS = 1_200;
    /** How often a stream is sent at most, if heads turn it away. */
    private static final int MOST_ATTEMPTS = 4;
    /** The spread of lengths around their mean, as the deviation of their logarithm. */
    private static final double SPREAD = 0.8;
    /** The time over which refusals count as demand, in milliseconds. */
    private static final long COUNTED_MILLIS = 2_000;

    private final SimulatedSite site;
    private final Mechanisms mechanisms;
    private final UniformRandomProvider random;
    private final SimulatedFleet fleet;
    private final UnavailableHeads heads;
    private final PriorityQueue<SimulatedStream> returns =
            new PriorityQueue<>(Comparator.comparingLong((SimulatedStream s) -> s.progressAt));
    private final Map<String, Double> owed = new TreeMap<>();
    private final Map<String, Double> earned = new TreeMap<>();
    private final Map<String, List<Long>> refusals = new HashMap<>();
    private final List<Map<String, Integer>> counts = new ArrayList<>();
    private long now;
    private int asked;
    private int refused;
    private int late;
    private long nextLoss;
    private long nextNew;

    private SimulatedDay(SimulatedSite site, Mechanisms mechanisms, long seed) {
        this.site = site;
        this.mechanisms = mechanisms;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.fleet = new SimulatedFleet(site, mechanisms, RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1));
        this.heads =
                new UnavailableHeads(site.trouble().unavailable(), RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 2));
        this.nextLoss = site.leadMillis() + vary(site.trouble().lossEveryMillis());
        this.nextNew = site.leadMillis() + 4 * vary(site.trouble().newEveryMillis());
    }

    /**
     * Plays a day.
     *
     * @param site the deployment
     * @param mechanisms those in use
     * @param seed what chance does
     * @return what became of it
     */
    public static DayResult play(SimulatedSite site, Mechanisms mechanisms, long seed) {
        return new SimulatedDay(site, mechanisms, seed).play();
    }

    private DayResult play() {
        long end = site.leadMillis() + site.lengthMillis();
        for (now = TICK_MILLIS; now < end; now += TICK_MILLIS) {
            happen();
            heads.pass(now, now - site.leadMillis());
            fleet.pass(now, demand());
            for (GroupRun r : fleet.runs()) {
                if (fleet.stands(r)) {
                    r.stand(now);
                } else {
                    r.pass(now, this::ended);
                }
            }
            fleet.stranded().forEach(this::move);
            if (now > site.leadMillis()) {
                arrive();
            }
        }
        double all = owed.values().stream().mapToDouble(d -> d).sum();
        double got = earned.values().stream().mapToDouble(d -> d).sum();
        Map<String, Double> byKind = new TreeMap<>();
        owed.forEach((k, o) -> byKind.put(k, earned.getOrDefault(k, 0.0) / o));
        return new DayResult(got / all, (double) refused / asked, (double) late / asked, byKind, fleet.loads());
    }

    // --- engines

    private void happen() {
        Trouble t = site.trouble();
        long at = now - site.leadMillis();
        if (t.lossEveryMillis() > 0 && now >= nextLoss && at < t.endsMillis()) {
            fleet.loseMember();
            nextLoss = now + vary(t.lossEveryMillis());
        }
        if (t.newEveryMillis() > 0 && now >= nextNew && at < t.endsMillis()) {
            fleet.add(-1);
            nextNew = now + vary(t.newEveryMillis());
        }
        if (t.darkAtMillis() >= 0 && at >= t.darkAtMillis() && at < t.darkAtMillis() + TICK_MILLIS) {
            fleet.darken(0, true);
        }
        if (t.darkAtMillis() >= 0
                && at >= t.darkAtMillis() + t.darkForMillis()
                && at < t.darkAtMillis() + t.darkForMillis() + TICK_MILLIS) {
            fleet.darken(0, false);
        }
    }

    private long vary(long mean) {
        return (long) (mean * (0.5 + random.nextDouble()));
    }

    // --- callers

    private void arrive() {
        for (CallerKind k : site.kinds()) {
            int n = PoissonSampler.of(random, k.perSecond() * TICK_MILLIS / 1_000)
                    .sample();
            for (int i = 0; i < n; i++) {
                SimulatedStream s = new SimulatedStream(k, now, length(k.promptTokens()), length(k.answerTokens()));
                asked++;
                owed.merge(k.name(), k.worth(), Double::sum);
                offer(s);
            }
        }
        while (!returns.isEmpty() && returns.peek().progressAt <= now) {
            offer(returns.poll());
        }
    }

    private double length(double mean) {
        ZigguratSampler.NormalizedGaussian gauss = ZigguratSampler.NormalizedGaussian.of(random);
        return LogNormalSampler.of(gauss, Math.log(mean) - SPREAD * SPREAD / 2, SPREAD)
                .sample();
    }

    private void offer(SimulatedStream s) {
        heads.arrived(fleet.open(s.kind.model()));
        List<GroupRun> open = open(s);
        int slots = open.stream().mapToInt(GroupRun::slots).sum();
        int running = open.stream().mapToInt(GroupRun::running).sum();
        boolean returned = s.again && mechanisms.has(Mechanism.RETURNS_LAST);
        boolean room = !open.isEmpty() && StreamRoom.holds(running, slots, returned);
        if (room && send(s, open)) {
            return;
        }
        if (s.again) {
            refused++;
        } else {
            s.again = true;
            s.progressAt = now + RETRY_AFTER_MILLIS;
            returns.add(s);
            refusals.computeIfAbsent(s.kind.model(), m -> new ArrayList<>()).add(now);
        }
    }

    /** Lists the groups that serve a stream and are available. */
    private List<GroupRun> open(SimulatedStream s) {
        List<GroupRun> out = new ArrayList<>(fleet.open(s.kind.model()));
        out.removeIf(g -> !heads.wants(g));
        return out;
    }

    /** Sends a stream to one group after the other until one takes it. */
    private boolean send(SimulatedStream s, List<GroupRun> open) {
        for (int i = 0; i < MOST_ATTEMPTS && !open.isEmpty(); i++) {
            GroupRun g = choose(open);
            if (heads.takes(g)) {
                g.take(s, now);
                return true;
            }
            open.remove(g);
        }
        return false;
    }

    private GroupRun choose(List<GroupRun> open) {
        if (open.size() == 1) {
            return open.get(0);
        }
        GroupRun a = open.get(random.nextInt(open.size()));
        GroupRun b = open.get(random.nextInt(open.size()));
        return a.running() <= b.running() ? a : b;
    }

    /** A stream whose group no longer serves goes on at another, if there is one. */
    private void move(SimulatedStream s) {
        s.readAgain();
        if (!send(s, open(s))) {
            refused++;
        }
    }

    private void ended(SimulatedStream s) {
        late += s.late ? 1 : 0;
        earned.merge(s.kind.name(), s.late ? s.kind.lateWorth() : s.kind.worth(), Double::sum);
    }

    /** The streams in progress and, for those refused lately, as many as would be. */
    private Map<String, Integer> demand() {
        Map<String, Integer> out = new HashMap<>();
        for (GroupRun r : fleet.runs()) {
            out.merge(r.model(), r.running(), Integer::sum);
        }
        if (mechanisms.has(Mechanism.REFUSED_DEMAND)) {
            refusals.forEach((m, list) -> {
                list.removeIf(at -> now - at > COUNTED_MILLIS);
                out.merge(m, (int) (list.size() * 1_000 / COUNTED_MILLIS), Integer::sum);
            });
        }
        counts.add(out);
        return counts.get(Math.max(0, counts.size() - COUNTS_OLD));
    }
}
