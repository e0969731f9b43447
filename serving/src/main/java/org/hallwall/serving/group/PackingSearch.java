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
 * Local search for the number of groups of each model that every fabric domain should have.
 *
 * <p>Starting from the existing groups, it replaces the packing of one domain after the other by the one of highest utility given
 * the other domains, until no domain improves. The utility of a packing is that of its groups for the whole fleet and for their
 * failure domain alone, which may become partitioned, minus the expected cost of losses without a spare, of loads, and of
 * dissolved groups.
 */
final class PackingSearch {

    /** The weight of demand that can only be served in its failure domain, against demand served by the whole fleet. */
    private static final double PARTITION_WEIGHT = 0.15;
    /** The fraction of engines lost within the time to replace one; it determines the number of spares. */
    private static final double LOSS_FRACTION = 0.2;
    /** The mean fraction of that time for which a group without a spare is down; the group of least utility provides engines. */
    private static final double DOWNTIME_FRACTION = 0.5;
    /** The cost of a load as a fraction of the engine's utility over the same time; the engine may serve in a group meanwhile. */
    private static final double LOAD_COST_FRACTION = 0.25;
    /** The cost of dissolving a group as a fraction of its utility over the same time: downtime, and often another load. */
    private static final double DISSOLUTION_COST_FRACTION = 0.4;
    /** The minimum gain for which a domain's packing changes, in engines; prevents oscillation between equal packings. */
    private static final double MIN_GAIN = 0.02;
    /** The maximum number of packings of a domain that are evaluated; beyond it only neighbors of the current one are. */
    private static final int MAX_PACKINGS = 400;
    /** The maximum distance of a neighbor from the current packing, in groups of each model. */
    private static final int NEIGHBOR_DISTANCE = 2;
    /** The maximum number of passes over all domains. */
    private static final int MAX_ROUNDS = 6;

    private final ModelDemand demand;
    private final List<EngineModel> models;
    private final List<DomainCapacity> domains;
    private final Map<String, double[]> groupsByFailureDomain = new HashMap<>();
    private final Map<String, int[]> chosen = new LinkedHashMap<>();
    private final double[] fleetGroups;
    private final boolean keepSpares;

    private PackingSearch(ModelDemand demand, List<DomainCapacity> domains, boolean keepSpares) {
        this.keepSpares = keepSpares;
        this.demand = demand;
        this.models = demand.spec().models();
        this.domains = domains;
        this.fleetGroups = new double[models.size()];
        for (DomainCapacity d : domains) {
            groupsByFailureDomain.putIfAbsent(d.failureDomain(), new double[models.size()]);
            int[] start = new int[models.size()];
            int available = d.engines();
            for (int m = 0; m < start.length; m++) {
                int size = models.get(m).size();
                start[m] = Math.min(d.groupCount(models.get(m).name()), available / size);
                available -= start[m] * size;
            }
            chosen.put(d.name(), start);
            adjustGroups(d, start, 1);
        }
    }

    /**
     * Searches for a packing.
     *
     * @param demand the demand for each model
     * @param domains the capacity of each fabric domain
     * @param keepSpares whether expected losses reduce the utility of a packing, so that it keeps spares
     * @return the number of groups that every domain should have
     */
    static Packing findPacking(ModelDemand demand, List<DomainCapacity> domains, boolean keepSpares) {
        return new PackingSearch(demand, domains, keepSpares).search();
    }

    private Packing search() {
        boolean improved = true;
        for (int round = 0; round < MAX_ROUNDS && improved; round++) {
            improved = false;
            for (DomainCapacity d : domains) {
                improved |= improve(d);
            }
        }
        Map<String, DomainCapacity> byName = new HashMap<>();
        Map<String, Map<String, Integer>> counts = new HashMap<>();
        for (DomainCapacity d : domains) {
            byName.put(d.name(), d);
            Map<String, Integer> byModel = new HashMap<>();
            for (int m = 0; m < models.size(); m++) {
                byModel.put(models.get(m).name(), chosen.get(d.name())[m]);
            }
            counts.put(d.name(), byModel);
        }
        return new Packing(demand, byName, counts);
    }

    private boolean improve(DomainCapacity d) {
        int[] current = chosen.get(d.name());
        adjustGroups(d, current, -1);
        int[] best = current;
        double bestUtility = utility(d, current) + MIN_GAIN;
        for (int[] p : candidatePackings(d, current)) {
            double utility = utility(d, p);
            if (utility > bestUtility) {
                bestUtility = utility;
                best = p;
            }
        }
        adjustGroups(d, best, 1);
        chosen.put(d.name(), best);
        return !Arrays.equals(best, current);
    }

    private void adjustGroups(DomainCapacity d, int[] counts, int sign) {
        double[] local = groupsByFailureDomain.get(d.failureDomain());
        for (int m = 0; m < counts.length; m++) {
            fleetGroups[m] += sign * counts[m];
            local[m] += sign * counts[m];
        }
    }

    // --- utility

    private double utility(DomainCapacity d, int[] counts) {
        double[] local = groupsByFailureDomain.get(d.failureDomain());
        double localFraction = 1.0 / groupsByFailureDomain.size();
        double out = 0;
        double inGroups = 0;
        double minGroupUtility = Double.MAX_VALUE;
        for (int m = 0; m < counts.length; m++) {
            EngineModel model = models.get(m);
            double total = fleetGroups[m] + counts[m];
            out += (1 - PARTITION_WEIGHT) * demand.utility(model, total, 1);
            out += PARTITION_WEIGHT * demand.utility(model, local[m] + counts[m], localFraction);
            double groupUtility = demand.marginalUtility(model, Math.max(0, total - 1));
            int engines = counts[m] * model.size();
            minGroupUtility = counts[m] > 0 ? Math.min(minGroupUtility, groupUtility) : minGroupUtility;
            out -= LOAD_COST_FRACTION
                    * groupUtility
                    / model.size()
                    * Math.max(0, engines - d.joinableCount(model.name()));
            out -= DISSOLUTION_COST_FRACTION * groupUtility * Math.max(0, d.groupCount(model.name()) - counts[m]);
            inGroups += engines;
        }
        if (inGroups == 0 || !keepSpares) {
            return out;
        }
        double uncovered = expectedUncoveredLosses(inGroups * LOSS_FRACTION, d.engines() - inGroups);
        return out - DOWNTIME_FRACTION * uncovered * minGroupUtility;
    }

    /** Returns the expected number of losses in excess of the spares, with the losses Poisson distributed. */
    private static double expectedUncoveredLosses(double mean, double spareCount) {
        double probability = Math.exp(-mean);
        double covered = 0;
        double tail = 1;
        for (int n = 0; n <= spareCount; n++) {
            covered += probability * n;
            tail -= probability;
            probability *= mean / (n + 1);
        }
        return Math.max(0, mean - covered - spareCount * tail);
    }

    // --- enumeration of the packings that fit a domain

    private List<int[]> candidatePackings(DomainCapacity d, int[] current) {
        long combinations = 1;
        for (EngineModel m : models) {
            combinations *= d.engines() / m.size() + 1;
        }
        List<int[]> out = new ArrayList<>();
        enumeratePackings(out, new int[models.size()], 0, d.engines(), combinations <= MAX_PACKINGS ? null : current);
        return out;
    }

    private void enumeratePackings(List<int[]> out, int[] counts, int model, int available, int[] center) {
        if (model == counts.length) {
            out.add(counts.clone());
            return;
        }
        int size = models.get(model).size();
        int from = center == null ? 0 : Math.max(0, center[model] - NEIGHBOR_DISTANCE);
        int to = center == null ? available / size : Math.min(available / size, center[model] + NEIGHBOR_DISTANCE);
        for (int n = from; n <= to; n++) {
            counts[model] = n;
            enumeratePackings(out, counts, model + 1, available - n * size, center);
        }
        counts[model] = 0;
    }
}
