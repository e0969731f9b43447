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

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.hallwall.core.duty.EventLoopThread;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.Json;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.engine.Announcement;
import org.hallwall.engine.EngineOrder;
import org.hallwall.engine.EnginePaths;
import org.hallwall.program.AdminServer;
import org.hallwall.program.Daemon;
import org.hallwall.program.ProgramException;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Runs the fake targets of one process: servers, generation, announcements and membership probes. */
public final class FakeEngineDaemon implements Daemon {

    private static final Logger LOG = Logger.getLogger(FakeEngineDaemon.class);
    private static final int QUEUE_CAPACITY = 64;
    private static final long STEP_INTERVAL_MILLIS = 2;
    private static final long PROBE_INTERVAL_MILLIS = 200;
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(400);
    private static final double NANOS_PER_MILLI = 1e6;

    private final FakeEngineSettings settings;
    private final List<FakeTarget> targets = new ArrayList<>();
    private final List<FakeTargetServer> servers = new ArrayList<>();
    private final HttpClient http;
    private final EventLoopThread stepper;
    private final EventLoopThread announcer;
    private final EventLoopThread prober;
    private AdminServer admin;
    private int entryIndex;

    private FakeEngineDaemon(FakeEngineSettings settings) {
        this.settings = settings;
        this.http = HttpClient.create(ConnectionProvider.create("fake", 2_000)).responseTimeout(RESPONSE_TIMEOUT);
        FakeWeightStore weights = new FakeWeightStore(settings.weightLoadsAtOnce());
        for (FakeTargetSettings t : settings.targets()) {
            FakeTarget target = new FakeTarget(t, weights);
            targets.add(target);
            servers.add(new FakeTargetServer(target));
        }
        stepper = new EventLoopThread("engine", QUEUE_CAPACITY, STEP_INTERVAL_MILLIS, this::step);
        announcer = new EventLoopThread("announcer", QUEUE_CAPACITY, settings.announceMillis(), this::announce);
        prober = new EventLoopThread("members", QUEUE_CAPACITY, PROBE_INTERVAL_MILLIS, this::probeMembers);
    }

    /**
     * Starts the fake targets.
     *
     * @param settings the settings
     * @return the running daemon
     * @throws ProgramException if a port cannot be bound
     */
    public static FakeEngineDaemon start(FakeEngineSettings settings) throws ProgramException {
        FakeEngineDaemon daemon = new FakeEngineDaemon(settings);
        for (FakeTargetServer s : daemon.servers) {
            s.open();
        }
        daemon.admin = AdminServer.open(settings.admin(), new PrometheusRegistry(), () -> true, daemon::dump);
        daemon.stepper.start();
        daemon.announcer.start();
        daemon.prober.start();
        return daemon;
    }

    /**
     * Returns the bound ports of the targets.
     *
     * @return the ports by instance
     */
    public Map<InstanceId, Integer> ports() {
        Map<InstanceId, Integer> out = new TreeMap<>();
        for (int i = 0; i < targets.size(); i++) {
            out.put(targets.get(i).settings().instance(), servers.get(i).port());
        }
        return out;
    }

    @Override
    public void close() {
        stepper.close();
        announcer.close();
        prober.close();
        servers.forEach(FakeTargetServer::close);
        admin.close();
    }

    private void step() {
        double now = System.nanoTime() / NANOS_PER_MILLI;
        for (FakeTarget t : targets) {
            t.step(now);
        }
    }

    private void announce() {
        for (FakeTarget t : targets) {
            if (!t.faults().dead()
                    && !t.faults().paused()
                    && !settings.entries().isEmpty()) {
                announce(t.announcement());
            }
        }
    }

    private void announce(Announcement announcement) {
        NetAddress entry = settings.entries()
                .get(Math.floorMod(entryIndex, settings.entries().size()));
        http.post()
                .uri("http://" + entry + EnginePaths.ANNOUNCEMENTS)
                .send(jsonBody(announcement))
                .response()
                .subscribe(
                        r -> {
                            if (r.status().code() != 200) {
                                failOver(entry);
                            }
                        },
                        e -> failOver(entry));
    }

    private void failOver(NetAddress failed) {
        announcer.offer(() -> {
            if (settings.entries()
                    .get(Math.floorMod(entryIndex, settings.entries().size()))
                    .equals(failed)) {
                entryIndex++;
                LOG.infof("fake: entry %s does not accept announcements, trying the next one", failed);
            }
        });
    }

    private void probeMembers() {
        for (FakeTarget t : targets) {
            if (t.faults().dead() || t.faults().paused()) {
                continue;
            }
            for (EngineOrder.Member m : t.membership().otherMembers()) {
                probe(t, m);
            }
        }
    }

    private void probe(FakeTarget target, EngineOrder.Member member) {
        http.get()
                .uri("http://" + member.address() + EnginePaths.MEMBERSHIP)
                .responseSingle((res, bytes) -> bytes.asString())
                .subscribe(text -> onMembership(target, member, text), e -> {});
    }

    private static void onMembership(FakeTarget target, EngineOrder.Member member, String text) {
        try {
            FakeTargetServer.MembershipResponse answer =
                    Json.MAPPER.readValue(text, FakeTargetServer.MembershipResponse.class);
            target.recordMembership(member.instance(), answer.membership());
        } catch (JsonProcessingException e) {
            LOG.warnf("fake: malformed membership response from %s", member.instance());
        }
    }

    private static Mono<ByteBuf> jsonBody(Object value) {
        return Mono.fromCallable(() ->
                Unpooled.wrappedBuffer(Json.MAPPER.writeValueAsString(value).getBytes(StandardCharsets.UTF_8)));
    }

    private Object dump() {
        Map<String, Announcement> out = new TreeMap<>();
        targets.forEach(t -> out.put(t.settings().instance().value(), t.announcement()));
        return out;
    }
}
