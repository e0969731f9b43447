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
import java.util.List;
import java.util.Map;

import org.hallwall.serving.config.EngineModel;
import org.hallwall.serving.config.EngineSpec;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the distribution of engines among models over all fabric domains, and the spares that are kept. */
class PackingSearchTest {

    private static final EngineModel LARGE = new EngineModel("large", 4, 0.67, 1, 16, 1.6);
    private static final EngineModel SMALL = new EngineModel("small", 2, 0.33, 0.6, 12, 1.1);
    private static final EngineSpec SPEC = new EngineSpec(18, List.of(LARGE, SMALL), 4.5, 6, 2.5, 300);

    private static final int MAX_STREAMS = 1_000;

    private static DomainCapacity domain(int n, int engines, int large, int small, int able) {
        return new DomainCapacity(
                "d" + n,
                "z" + n % 3,
                engines,
                Map.of("large", large, "small", small),
                Map.of("large", able, "small", engines));
    }

    private static Packing pack(Map<String, Double> streams, List<DomainCapacity> domains) {
        int engines = domains.stream().mapToInt(DomainCapacity::engines).sum();
        return PackingSearch.findPacking(new ModelDemand(SPEC, streams, engines), domains, true);
    }

    private static int total(Packing p, String model) {
        return p.domains().keySet().stream()
                .mapToInt(d -> p.groupCount(d, model))
                .sum();
    }

    /** Six domains of 8 engines with 4 large groups, which are full, and 14 small ones. */
    @Test
    void anOverloadedLargeModelGetsEnginesOfSurplusSmallGroups() {
        List<DomainCapacity> domains = new ArrayList<>();
        for (int n = 0; n < 6; n++) {
            domains.add(n < 4 ? domain(n, 8, 1, 2, 8) : domain(n, 8, 0, 3, 8));
        }
        Packing p = pack(Map.of("large", 75.0, "small", 60.0), domains);
        Assertions.assertTrue(total(p, "large") >= 6, p.toString());
        Assertions.assertTrue(total(p, "small") >= 6, p.toString());
        Assertions.assertTrue(p.deficit("d4", "large") > 0 && p.deficit("d4", "small") < 0);
    }

    /** Engines that need a load switch to the large model only at a higher demand. */
    @Test
    void requiredLoadsReduceUtility() {
        Assertions.assertTrue(
                demandThatSwitches(0) > demandThatSwitches(8), demandThatSwitches(0) + " " + demandThatSwitches(8));
    }

    /** Returns the lowest demand for the large model at which a domain replaces four small groups by a large one. */
    private static int demandThatSwitches(int able) {
        for (int streams = 1; streams < MAX_STREAMS; streams++) {
            List<DomainCapacity> domains = new ArrayList<>();
            for (int n = 0; n < 5; n++) {
                domains.add(domain(n, 8, 1, 2, 8));
            }
            domains.add(domain(5, 8, 0, 4, able));
            Packing p = pack(Map.of("large", (double) streams, "small", 70.0), domains);
            if (p.groupCount("d5", "large") > 0) {
                return streams;
            }
        }
        return MAX_STREAMS;
    }

    /** A packing is stable under unchanged input. */
    @Test
    void theSearchIsStable() {
        List<DomainCapacity> domains = new ArrayList<>();
        for (int n = 0; n < 6; n++) {
            domains.add(domain(n, 8 - n % 2, 1, 1, 8));
        }
        Map<String, Double> streams = Map.of("large", 50.0, "small", 55.0);
        Packing first = pack(streams, domains);
        List<DomainCapacity> formed = new ArrayList<>();
        for (DomainCapacity d : domains) {
            formed.add(new DomainCapacity(
                    d.name(), d.failureDomain(), d.engines(), first.counts().get(d.name()), d.joinable()));
        }
        Assertions.assertEquals(first.counts(), pack(streams, formed).counts());
    }

    /** The groups of a packing never need more engines than the domain has. */
    @ParameterizedTest
    @CsvSource({"0", "1", "3", "7", "19", "37", "64"})
    void aPackingFitsItsDomain(int engines) {
        Packing p = pack(Map.of(), List.of(domain(0, engines, 0, 0, 0)));
        Assertions.assertTrue(p.spareCount(SPEC, "d0") >= 0);
    }

    /** With ten groups, four spares have a higher utility than another group of four. */
    @ParameterizedTest
    @CsvSource({"true, 4", "false, 0"})
    void sparesAreKeptOnlyIfEnabled(boolean keepSpares, int minSpares) {
        EngineSpec one = new EngineSpec(18, List.of(LARGE), 4.5, 6, 2.5, 300);
        List<DomainCapacity> domains = List.of(domain(0, 40, 0, 0, 40));
        ModelDemand demand = new ModelDemand(one, Map.of("large", 60.0), 40);
        int spares = PackingSearch.findPacking(demand, domains, keepSpares).spareCount(one, "d0");
        Assertions.assertTrue(keepSpares ? spares >= minSpares : spares == minSpares, "spares " + spares);
    }
}
