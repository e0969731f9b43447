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
package org.hallwall.control;

import java.util.Map;
import java.util.Set;

import org.hallwall.core.id.FailureDomainId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ShareAssignerTest {

    private static final FailureDomainId A = new FailureDomainId("a");
    private static final FailureDomainId B = new FailureDomainId("b");

    @Test
    void spreadsByFreeTargets() {
        assertEquals(Map.of("a", 2, "b", 2), assign(Map.of(A, 8, B, 9), Set.of(), 4, Map.of()));
    }

    /** Guards against assigning all replicas to a domain without targets that reports first. */
    @Test
    void assignsNothingToDomainWithoutFreeTargets() {
        assertEquals(Map.of(), assign(Map.of(A, 0), Set.of(), 2, Map.of()));
        assertEquals(Map.of("b", 2), assign(Map.of(A, 0, B, 5), Set.of(), 2, Map.of()));
    }

    @Test
    void keepsExistingSharesIfAnotherDomainHasMoreFreeTargets() {
        assertEquals(Map.of("a", 2), assign(Map.of(A, 0, B, 50), Set.of(), 2, Map.of("a", 2)));
        assertEquals(Map.of("a", 2), assign(Map.of(A, -2, B, 50), Set.of(), 2, Map.of("a", 2)));
    }

    @Test
    void movesOneReplicaPerRoundFromOvercommittedDomain() {
        assertEquals(Map.of("a", 1, "b", 1), assign(Map.of(A, -4, B, 50), Set.of(A), 2, Map.of("a", 2)));
        assertEquals(Map.of("a", 2), assign(Map.of(A, -4, B, 1), Set.of(A), 2, Map.of("a", 2)));
    }

    @Test
    void movesFromUnreachableDomain() {
        assertEquals(Map.of("b", 2), assign(Map.of(B, 10), Set.of(), 2, Map.of("a", 2)));
    }

    @Test
    void reducesSharesIfFewerReplicasAreDeclared() {
        assertEquals(Map.of("a", 1), assign(Map.of(A, 0, B, 0), Set.of(), 1, Map.of("a", 2, "b", 2)));
    }

    private static Map<String, Integer> assign(
            Map<FailureDomainId, Integer> free,
            Set<FailureDomainId> overcommitted,
            int replicas,
            Map<String, Integer> current) {
        return new ShareAssigner(free, overcommitted).assign(replicas, 2, current);
    }
}
