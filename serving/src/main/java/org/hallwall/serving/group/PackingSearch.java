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
package org.hallwall.serving.group;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.hallwall.serving.config.EngineModel;

/**
 * Searches how many groups of each model every fabric domain should hold, over all domains together.
 *
 * <p>From the groups that there are it changes one domain after the other to the packing that is worth most beside the others,
 * until none gets better. A packing is worth what its groups add for callers of the whole fleet and of its failure domain, which
 * may be cut off and then serves alone, less what is expected to be lost: groups that lose a member and find no spare, loads, and
 * groups taken apart.
 */
final class PackingSearch {

    /** The weight of callers who can only be served in their failure domain, against those served by the whole fleet. */
    private static final double ALONE_WEIGHT = 0.15;
    /** The part of engines lost within the time in which a new one comes and loads; it sets the number of spares. */
    private static final double LOST_PART = 0.2;
    /** A group without a spare is missing for half of that time in the mean; the one of least worth gives its engines to others. */
    private static final double MISSING_PART = 0.5;
    /** What the load of one engine costs, in parts of its worth over the same time, in which it may serve on in a group. */
    private static final double LOAD_PART = 0.25;
    /** What taking a group apart costs, in parts of its worth over the same time: it is missing for a while, and often has a model to load again. */
    private static final double CHANGE_PART = 0.4;
    /** The least gain for which a domain's packing changes, in engines; keeps equal packings from alternating. */
    private static final double LEAST_GAIN = 0.02;
    /** More packings of a domain than this are not weighed; then only those near the present one are. */
    private static final int MOST_PACKINGS = 400;
    /** How far from the present packing those are, in groups of each model. */
    private static final int NEAR = 2;
    /** How often all domains are gone through at most. */
    private static final int ROUNDS = 6;

    private final ModelDemand demand;
    private final List<EngineModel> models;
    private final List<DomainEngines> domains;
    private final Map<String, double[]> byFailureDomain = new HashMap<>();
    private final Map<String, int[]> chosen = new LinkedHashMap<>();
    private final double[] fleet;
    private final boolean spares;

    private PackingSearch(ModelDemand demand, List<DomainEngines> domains, boolean spares) {
        this.spares = spares;
        this.demand = demand;
        this.models = demand.spec().models();
        this.domains = domains;
        this.fleet = new double[models.size()];
        for (DomainEngines d : domains) {
            byFailureDomain.putIfAbsent(d.failureDomain(), new double[models.size()]);
            int[] start = new int[models.size()];
            int left = d.engines();
            for (int m = 0; m < start.length; m++) {
                int size = models.get(m).size();
                start[m] = Math.min(d.groupsOf(models.get(m).name()), left / size);
                left -= start[m] * size;
            }
            chosen.put(d.name(), start);
            add(d, start, 1);
        }
    }

    /**
     * Decides on a packing.
     *
     * @param demand what is asked of the models
     * @param domains the engines by fabric domain
     * @param spares whether losses are weighed
     * @return how many groups every domain should hold
     */
    static Packing decide(ModelDemand demand, List<DomainEngines> domains, boolean spares) {
        return new PackingSearch(demand, domains, spares).search();
    }

    private Packing search() {
        boolean better = true;
        for (int round = 0; round < ROUNDS && better; round++) {
            better = false;
            for (DomainEngines d : domains) {
                better |= improve(d);
            }
        }
        Map<String, DomainEngines> byName = new HashMap<>();
        Map<String, Map<String, Integer>> counts = new HashMap<>();
        for (DomainEngines d : domains) {
            byName.put(d.name(), d);
            Map<String, Integer> of = new HashMap<>();
            for (int m = 0; m < models.size(); m++) {
                of.put(models.get(m).name(), chosen.get(d.name())[m]);
            }
            counts.put(d.name(), of);
        }
        return new Packing(demand, byName, counts);
    }

    private boolean improve(DomainEngines d) {
        int[] before = chosen.get(d.name());
        add(d, before, -1);
        int[] best = before;
        double most = worth(d, before) + LEAST_GAIN;
        for (int[] p : packings(d, before)) {
            double worth = worth(d, p);
            if (worth > most) {
                most = worth;
                best = p;
            }
        }
        add(d, best, 1);
        chosen.put(d.name(), best);
        return !Arrays.equals(best, before);
    }

    private void add(DomainEngines d, int[] counts, int sign) {
        double[] near = byFailureDomain.get(d.failureDomain());
        for (int m = 0; m < counts.length; m++) {
            fleet[m] += sign * counts[m];
            near[m] += sign * counts[m];
        }
    }

    // --- the worth of a packing beside those of the other domains

    private double worth(DomainEngines d, int[] counts) {
        double[] near = byFailureDomain.get(d.failureDomain());
        double part = 1.0 / byFailureDomain.size();
        double out = 0;
        double inGroups = 0;
        double cheapest = Double.MAX_VALUE;
        for (int m = 0; m < counts.length; m++) {
            EngineModel model = models.get(m);
            double all = fleet[m] + counts[m];
            out += (1 - ALONE_WEIGHT) * demand.worth(model, all, 1);
            out += ALONE_WEIGHT * demand.worth(model, near[m] + counts[m], part);
            double group = demand.nextWorth(model, Math.max(0, all - 1));
            int engines = counts[m] * model.size();
            cheapest = counts[m] > 0 ? Math.min(cheapest, group) : cheapest;
            out -= LOAD_PART * group / model.size() * Math.max(0, engines - d.ableFor(model.name()));
            out -= CHANGE_PART * group * Math.max(0, d.groupsOf(model.name()) - counts[m]);
            inGroups += engines;
        }
        if (inGroups == 0 || !spares) {
            return out;
        }
        double without = lossesBeyond(inGroups * LOST_PART, d.engines() - inGroups);
        return out - MISSING_PART * without * cheapest;
    }

    /** The expected number of losses that no spare is left for, when losses are independent of each other. */
    private static double lossesBeyond(double mean, double spares) {
        double probability = Math.exp(-mean);
        double covered = 0;
        double beyond = 1;
        for (int n = 0; n <= spares; n++) {
            covered += probability * n;
            beyond -= probability;
            probability *= mean / (n + 1);
        }
        return Math.max(0, mean - covered - spares * beyond);
    }

    // --- the packings that a domain has room for

    private List<int[]> packings(DomainEngines d, int[] present) {
        long all = 1;
        for (EngineModel m : models) {
            all *= d.engines() / m.size() + 1;
        }
        List<int[]> out = new ArrayList<>();
        collect(out, new int[models.size()], 0, d.engines(), all <= MOST_PACKINGS ? null : present);
        return out;
    }

    private void collect(List<int[]> out, int[] counts, int model, int left, int[] near) {
        if (model == counts.length) {
            out.add(counts.clone());
            return;
        }
        int size = models.get(model).size();
        int from = near == null ? 0 : Math.max(0, near[model] - NEAR);
        int to = near == null ? left / size : Math.min(left / size, near[model] + NEAR);
        for (int n = from; n <= to; n++) {
            counts[model] = n;
            collect(out, counts, model + 1, left - n * size, near);
        }
        counts[model] = 0;
    }
}
