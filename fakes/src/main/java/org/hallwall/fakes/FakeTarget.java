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

/** One stand-in target: a model engine, or a plain service. */
final class FakeTarget {

    private static final Logger LOG = Logger.getLogger(FakeTarget.class);
    private static final long MEMBER_LOST_MILLIS = 600;

    private final FakeTargetSettings settings;
    private final String boot = UUID.randomUUID().toString();
    private final AtomicLong sequence = new AtomicLong();
    private final FakeAccount account = new FakeAccount();
    private final FakeRuns runs;
    private final FakeMembership membership;
    private final Map<InstanceId, Long> heardMembers = new ConcurrentHashMap<>();
    private volatile FakeFaults faults = FakeFaults.NONE;
    private volatile boolean membersMissing;
    private volatile TargetLoad reportedLoad = TargetLoad.NONE;
    private volatile long loadAt;
    private volatile int port;

    FakeTarget(FakeTargetSettings settings, FakeWeights weights) {
        this.settings = settings;
        this.runs = new FakeRuns(settings, account);
        this.membership = new FakeMembership(settings, weights, account);
    }

    FakeTargetSettings settings() {
        return settings;
    }

    FakeAccount account() {
        return account;
    }

    FakeMembership membership() {
        return membership;
    }

    FakeFaults faults() {
        return faults;
    }

    void listensOn(int listeningPort) {
        port = listeningPort;
    }

    void switchFaults(FakeFaults fresh) {
        LOG.infof("fake: %s faults are %s", settings.instance(), fresh);
        faults = fresh;
        if (fresh.dead()) {
            runs.cutAll();
        }
    }

    FakeMembership.Refusal order(EngineOrder order) {
        boolean regrouped =
                membership.joined() == null || !membership.joined().group().equals(order.group());
        FakeMembership.Refusal refusal = membership.take(order, Ticker.SYSTEM.millis(), System.currentTimeMillis());
        if (refusal == null && (regrouped || order.kind() == EngineOrder.Kind.LEAVE)) {
            runs.failAll();
            heardMembers.clear();
            membersMissing = true;
        }
        return refusal;
    }

    boolean serves(GroupId group) {
        return membership.isHeadOf(group) && !membersMissing && !faults.dead();
    }

    FakeRun run(EngineRun request) {
        return runs.add(request);
    }

    FakeRun run(AttemptId attempt) {
        return runs.get(attempt);
    }

    boolean cancel(AttemptId attempt) {
        return runs.cancel(attempt);
    }

    Flux<ByteBuf> frames(FakeRun run, int from) {
        return Flux.create(sink -> {
            run.attach(sink, from);
            run.flush(faults);
        });
    }

    /** Lets time pass. */
    void step(double now) {
        if (faults.paused() || faults.dead()) {
            return;
        }
        membership.step((long) now);
        noteMembers((long) now);
        if (runs.step(now, faults)) {
            switchFaults(new FakeFaults(true, false, false, 1, -1, -1, false, false, false, false));
        }
        if (now - loadAt >= settings.loadLagMillis()) {
            loadAt = (long) now;
            reportedLoad = runs.load();
        }
    }

    /** The first member asks the others; a member that does not answer breaks the group. */
    void heardFrom(InstanceId member, GroupMembership theirs) {
        GroupMembership own = membership.current();
        boolean same = own != null && theirs != null && own.group().equals(theirs.group()) && theirs.loaded();
        if (same) {
            heardMembers.put(member, Ticker.SYSTEM.millis());
        }
    }

    private void noteMembers(long now) {
        boolean missing = false;
        for (EngineOrder.Member m : membership.others()) {
            Long heard = heardMembers.get(m.instance());
            missing |= heard == null || now - heard > MEMBER_LOST_MILLIS;
        }
        if (missing && !membersMissing) {
            LOG.infof("fake: %s misses a member of its group", settings.instance());
            runs.failAll();
        }
        membersMissing = missing;
    }

    Announcement announcement() {
        GroupMembership group = membership.current();
        EngineOrder joined = membership.joined();
        NetAddress address = settings.advertise() != null
                ? settings.advertise()
                : new NetAddress(settings.listen().host(), port);
        return new Announcement(
                settings.instance(),
                boot,
                sequence.incrementAndGet(),
                settings.failureDomain(),
                settings.fabricDomain(),
                settings.service() == null ? settings.accelerators() : 0,
                address,
                settings.checksFencing(),
                settings.service(),
                group,
                membership.highest(),
                membership.model(),
                membership.version(),
                joined == null ? List.of() : joined.adapters(),
                joined == null ? null : joined.role(),
                reportedLoad,
                faults.leaving());
    }

    Duration serviceTime() {
        return Duration.ofMillis(settings.serviceMillis());
    }
}
