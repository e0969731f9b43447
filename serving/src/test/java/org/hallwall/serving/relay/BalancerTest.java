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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.netty.channel.embedded.EmbeddedChannel;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.serving.decision.Mechanisms;
import org.hallwall.serving.target.GroupMembership;
import org.hallwall.serving.target.GroupState;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Targets are selected by outstanding requests, over all entries if their load is known. */
class BalancerTest {

    private static final int CHOICES = 3_000;

    private long now = 1_000;
    private final FleetLoad fleet = new FleetLoad(() -> now);
    private final Balancer balancer = new Balancer("a", fleet, Mechanisms.ALL, new Random(1)::nextDouble, () -> now);

    private static List<ServingTarget> targets(int count) {
        List<ServingTarget> out = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            out.add(new ServingTarget(
                    new InstanceId("h" + i), 1, new NetAddress("127.0.0.1", 1), "a", 18, "m", null, 1));
        }
        return out;
    }

    private Map<String, Integer> choices(List<ServingTarget> targets) {
        Map<String, Integer> out = new HashMap<>();
        for (int i = 0; i < CHOICES; i++) {
            out.merge(balancer.choose(targets, Set.of()).instance().value(), 1, Integer::sum);
        }
        return out;
    }

    @Test
    void leastLoadedTargetGetsMostButNotAllRequests() {
        fleet.update(Map.of(), Map.of("h0", 1, "h1", 9, "h2", 9, "h3", 9, "h4", 9, "h5", 20));
        Map<String, Integer> choices = choices(targets(6));
        Assertions.assertTrue(choices.get("h0") > CHOICES / 4, choices.toString());
        Assertions.assertTrue(choices.get("h0") < CHOICES / 2, choices.toString());
        Assertions.assertFalse(choices.containsKey("h5"), choices.toString());
    }

    /** Local groups are preferred, since traffic between failure domains is billed, unless they are loaded. */
    @ParameterizedTest
    @CsvSource({"8, 3000", "9, 0", "18, 0"})
    void localGroupsArePreferredUpToTheLoadLimit(int outstanding, int localChoices) {
        Map<String, Integer> sums = new HashMap<>();
        List<ServingTarget> targets = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            String domain = i < 2 ? "a" : "b";
            GroupMembership membership = new GroupMembership("g" + i, 1, 0, GroupState.OPEN);
            targets.add(new ServingTarget(
                    new InstanceId("h" + i), 1, new NetAddress("127.0.0.1", 1), domain, 18, "m", membership, 1));
            sums.put("h" + i, i < 2 ? outstanding : 0);
        }
        fleet.update(Map.of(), sums);
        Map<String, Integer> choices = choices(targets);
        int own = choices.getOrDefault("h0", 0) + choices.getOrDefault("h1", 0);
        Assertions.assertTrue(localChoices == CHOICES ? own == CHOICES : own < CHOICES / 3, choices.toString());
    }

    @Test
    void ownCountsDecideWithoutFleetLoad() {
        fleet.update(Map.of(), Map.of("h0", 50));
        now += 5_000;
        List<ServingTarget> targets = targets(3);
        balancer.state(targets.get(1)).requestStarted();
        balancer.state(targets.get(2)).requestStarted();
        Assertions.assertEquals(Map.of("h0", CHOICES), choices(targets));
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 6})
    void ejectedTargetIsSelectedOnlyAsALastResort(int count) {
        fleet.update(Map.of(), Map.of());
        List<ServingTarget> targets = targets(count);
        targets.subList(1, count).forEach(t -> balancer.state(t).recordFailure(now));
        Assertions.assertEquals(Map.of("h0", CHOICES), choices(targets));
        Assertions.assertNotNull(balancer.choose(targets, Set.of(new InstanceId("h0"))));
    }

    /** Guards against rejections by full targets while one that pauses has free slots. */
    @Test
    void stalledTargetWithAFreeSlotIsSelectedIfAllOthersAreFull() {
        List<ServingTarget> targets = targets(3);
        balancer.state(targets.get(0)).recordStall(now);
        balancer.state(targets.get(1)).recordFailure(now);
        Assertions.assertEquals(Map.of("h2", CHOICES), choices(targets));
        fleet.update(Map.of(), Map.of("h2", 18));
        Assertions.assertEquals(Map.of("h0", CHOICES), choices(targets));
        for (int i = 0; i < 18; i++) {
            balancer.state(targets.get(0)).recordSuperseded(now);
        }
        Assertions.assertEquals(Map.of("h2", CHOICES), choices(targets), "cancelled requests still occupy its slots");
        balancer.state(targets.get(0)).recordProgress(now);
        Assertions.assertEquals(Map.of("h0", CHOICES), choices(targets));
        balancer.state(targets.get(0)).recordFailure(now);
        balancer.state(targets.get(0)).recordStall(now);
        Assertions.assertEquals(Map.of("h2", CHOICES), choices(targets), "a failure outweighs a stall");
    }

    @ParameterizedTest
    @CsvSource({"12, true, true", "13, false, true", "17, false, true", "18, false, false"})
    void hedgedAttemptsLeaveSlotsToNewRequests(int outstanding, boolean spare, boolean free) {
        fleet.update(Map.of(), Map.of("h0", outstanding));
        ServingTarget target = targets(1).get(0);
        Assertions.assertEquals(spare, balancer.hasSpareSlot(target));
        Assertions.assertEquals(free, balancer.hasFreeSlot(target));
    }

    @Test
    void displacedTargetIsSkippedUntilItsNextAnnouncement() {
        ServingTarget displaced =
                new ServingTarget(new InstanceId("gone"), 7, new NetAddress("127.0.0.1", 1), "a", 18, null, null, 1);
        ServingTarget reannounced =
                new ServingTarget(new InstanceId("gone"), 8, new NetAddress("127.0.0.1", 2), "a", 18, null, null, 1);
        balancer.state(displaced).markDisplaced(displaced, now);
        Assertions.assertNull(balancer.choose(List.of(displaced), Set.of()));
        Assertions.assertEquals(reannounced, balancer.choose(List.of(reannounced), Set.of()));
        now += 60_000;
        Assertions.assertEquals(
                displaced, balancer.choose(List.of(displaced), Set.of()), "the response may have been corrupted");
    }

    @Test
    void outstandingIncludesOtherEntries() {
        List<ServingTarget> targets = targets(1);
        balancer.state(targets.get(0)).requestStarted();
        Assertions.assertEquals(Map.of("h0", 1), balancer.outstanding());
        fleet.update(Map.of("h0", 1), Map.of("h0", 8));
        Assertions.assertEquals(8, balancer.outstanding(targets.get(0)));
    }

    /** Guards against retries that stay open at targets that have ended, and against those of stopped targets that are settled. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void unreadAttemptsAreSettledWhenTheirTargetHasEnded(boolean ended) {
        RetryWindow window = new RetryWindow(RetryBudgetFixture.WINDOW_MILLIS);
        ArrivalTracker tracker = new ArrivalTracker(() -> now);
        ServingTarget target = targets(1).get(0);
        AttemptConnection connection = new AttemptConnection();
        connection.recordSend(new EmbeddedChannel());
        balancer.state(target).addUnread(tracker.recordSend(), connection);
        tracker.add(window.tryRetry(now, 0, 10, 10));
        tracker.recordSend().confirm();
        now += 700;
        Assertions.assertEquals(Map.of("h0", new UnreadAttempts(1, 700)), balancer.unreadAttempts());
        balancer.abortUnread(id -> ended);
        Assertions.assertEquals(!ended, balancer.unreadAttempts().containsKey("h0"));
        Assertions.assertEquals(ended ? 0 : 1, window.openCharges());
    }
}
