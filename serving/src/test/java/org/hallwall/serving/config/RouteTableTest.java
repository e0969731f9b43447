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
package org.hallwall.serving.config;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the lookup of routes by host and longest prefix, and the rejection of invalid configurations. */
class RouteTableTest {

    private static Route route(String name, String host, String prefix, long timeout, int... weights) {
        List<Route.WeightedService> split = new java.util.ArrayList<>();
        for (int i = 0; i < weights.length; i++) {
            split.add(new Route.WeightedService("s" + i, weights[i]));
        }
        return new Route(name, host, prefix, RequestKind.IDEMPOTENT, timeout, 10, 1, split, 2, false, false, 0);
    }

    private static Configuration configuration(List<Route> routes, List<WorkspaceKeys> workspaces) {
        TargetService s = new TargetService("s0", 1, null);
        TargetService t = new TargetService("s1", 1, null);
        return new Configuration(1, routes, Map.of("s0", s, "s1", t), workspaces, CallerLimits.DEFAULT);
    }

    @ParameterizedTest
    @CsvSource(
            value = {
                "a.example, /x/1, short",
                "A.EXAMPLE:8080, /x/1, short",
                "a.example, /x/y/1?z=/x/, long",
                "a.example, /xx/1, null",
                "b.example, /x/1, null",
                "null, /x/1, null"
            },
            nullValues = "null")
    void theLongestPrefixWins(String host, String path, String expected) {
        RouteTable table = new RouteTable(configuration(
                List.of(route("short", "a.example", "/x/", 1, 1), route("long", "a.example", "/x/y/", 1, 1)),
                List.of()));
        Route found = table.findRoute(host, path);
        Assertions.assertEquals(expected, found == null ? null : found.name());
    }

    @ParameterizedTest
    @CsvSource({"0.0, s0", "0.89, s0", "0.91, s1", "0.999, s1"})
    void servicesAreSelectedByWeight(double draw, String expected) {
        Assertions.assertEquals(expected, route("r", "h", "/", 1, 90, 10).selectService(draw));
    }

    @Test
    void aKeyInTwoWorkspacesIsRejected() {
        List<WorkspaceKeys> shared =
                List.of(new WorkspaceKeys("a", List.of("k"), null), new WorkspaceKeys("b", List.of("k"), null));
        Assertions.assertThrows(
                ConfigurationException.class, () -> ConfigurationValidator.validate(configuration(List.of(), shared)));
    }

    @ParameterizedTest
    @CsvSource({"0, 1, /a/, /b/", "1, 0, /a/, /b/", "1, 1, /a/, /a/"})
    void invalidRoutesAreRejected(long timeout, int weight, String first, String second) {
        Configuration bad = configuration(
                List.of(route("r", "h", first, timeout, weight), route("q", "h", second, 1, 1)), List.of());
        Assertions.assertThrows(ConfigurationException.class, () -> ConfigurationValidator.validate(bad));
    }

    @Test
    void anUnknownServiceIsRejected() {
        Configuration bad = configuration(List.of(route("r", "h", "/", 1, 1, 1, 1)), List.of());
        Assertions.assertThrows(ConfigurationException.class, () -> ConfigurationValidator.validate(bad));
    }
}
