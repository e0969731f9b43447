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
package org.hallwall.fakes;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import org.hallwall.core.id.AttemptId;
import org.hallwall.core.id.GroupId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.core.time.Ticker;
import org.hallwall.engine.Announcement;
import org.hallwall.engine.EngineOrder;
import org.hallwall.engine.EngineRun;
import org.hallwall.engine.GroupMembership;
import org.hallwall.engine.TargetLoad;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;

/** A fake target: a model engine or a plain service. */
final class FakeTarget {

    private static final Logger LOG = Logger.getLogger(FakeTarget.class);
    private static final long MEMBER_TIMEOUT_MILLIS = 600;

    private final FakeTargetSettings settings;
    private final String bootId = UUID.randomUUID().toString();
    private final AtomicLong sequence = new AtomicLong();
    private final FakeTargetHistory history = new FakeTargetHistory();
    private final FakeBatchScheduler scheduler;
    private final FakeMembership membership;
    private final Map<InstanceId, Long> memberSeenMillis = new ConcurrentHashMap<>();
    private volatile FakeFaults faults = FakeFaults.NONE;
    private volatile boolean membersMissing;
    private volatile TargetLoad reportedLoad = TargetLoad.NONE;
    private volatile long loadReportedMillis;
    private volatile int port;

    FakeTarget(FakeTargetSettings settings, FakeWeightStore weights) {
        this.settings = settings;
        this.scheduler = new FakeBatchScheduler(settings, history);
        this.membership = new FakeMembership(settings, weights, history);
    }

    FakeTargetSettings settings() {
        return settings;
    }

    FakeTargetHistory account() {
        return history;
    }

    FakeMembership membership() {
        return membership;
    }

    FakeFaults faults() {
        return faults;
    }

    void setPort(int listeningPort) {
        port = listeningPort;
    }

    void setFaults(FakeFaults newFaults) {
        LOG.infof("fake: faults of %s set to %s", settings.instance(), newFaults);
        faults = newFaults;
        if (newFaults.dead()) {
            scheduler.dropAll();
        }
    }

    FakeMembership.Refusal applyOrder(EngineOrder order) {
        boolean regrouped = membership.joinOrder() == null
                || !membership.joinOrder().group().equals(order.group());
        FakeMembership.Refusal refusal =
                membership.applyOrder(order, Ticker.SYSTEM.millis(), System.currentTimeMillis());
        if (refusal == null && (regrouped || order.kind() == EngineOrder.Kind.LEAVE)) {
            scheduler.failAll();
            memberSeenMillis.clear();
            membersMissing = true;
        }
        return refusal;
    }

    boolean isServing(GroupId group) {
        return membership.isHeadOf(group) && !membersMissing && !faults.dead();
    }

    FakeRun run(EngineRun request) {
        return scheduler.add(request);
    }

    FakeRun run(AttemptId attempt) {
        return scheduler.get(attempt);
    }

    boolean cancel(AttemptId attempt) {
        return scheduler.cancel(attempt);
    }

    Flux<ByteBuf> frames(FakeRun run, int from) {
        return Flux.create(sink -> {
            run.attach(sink, from);
            run.flush(faults);
        });
    }

    /** Advances the target to the given time. */
    void step(double now) {
        if (faults.paused() || faults.dead()) {
            return;
        }
        membership.step((long) now);
        checkMembers((long) now);
        if (scheduler.step(now, faults)) {
            setFaults(new FakeFaults(true, false, false, 1, -1, -1, false, false, false, false));
        }
        if (now - loadReportedMillis >= settings.loadLagMillis()) {
            loadReportedMillis = (long) now;
            reportedLoad = scheduler.load();
        }
    }

    /** Records the membership that a probed member reported; members that stop responding make the group fail. */
    void recordMembership(InstanceId member, GroupMembership reported) {
        GroupMembership own = membership.current();
        boolean sameGroup =
                own != null && reported != null && own.group().equals(reported.group()) && reported.loaded();
        if (sameGroup) {
            memberSeenMillis.put(member, Ticker.SYSTEM.millis());
        }
    }

    private void checkMembers(long now) {
        boolean missing = false;
        for (EngineOrder.Member m : membership.otherMembers()) {
            Long lastSeen = memberSeenMillis.get(m.instance());
            missing |= lastSeen == null || now - lastSeen > MEMBER_TIMEOUT_MILLIS;
        }
        if (missing && !membersMissing) {
            LOG.infof("fake: %s lost contact with a member of its group", settings.instance());
            scheduler.failAll();
        }
        membersMissing = missing;
    }

    Announcement announcement() {
        GroupMembership group = membership.current();
        EngineOrder joined = membership.joinOrder();
        NetAddress address = settings.advertise() != null
                ? settings.advertise()
                : new NetAddress(settings.listen().host(), port);
        return new Announcement(
                settings.instance(),
                bootId,
                sequence.incrementAndGet(),
                settings.failureDomain(),
                settings.fabricDomain(),
                settings.service() == null ? settings.accelerators() : 0,
                address,
                settings.checksFencing(),
                settings.service(),
                group,
                membership.highestFencing(),
                membership.loadedModel(),
                membership.loadedVersion(),
                joined == null ? List.of() : joined.adapters(),
                joined == null ? null : joined.role(),
                reportedLoad,
                faults.leaving());
    }

    Duration serviceTime() {
        return Duration.ofMillis(settings.serviceMillis());
    }
}
