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
import org.hallwall.core.duty.DutyThread;
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

/** A running stand-in program with its targets. */
public final class FakeEngineDaemon implements Daemon {

    private static final Logger LOG = Logger.getLogger(FakeEngineDaemon.class);
    private static final int RING = 64;
    private static final long STEP_MILLIS = 2;
    private static final long PROBE_MILLIS = 200;
    private static final Duration TIMEOUT = Duration.ofMillis(400);
    private static final double NANOS_PER_MILLI = 1e6;

    private final FakeEngineSettings settings;
    private final List<FakeTarget> targets = new ArrayList<>();
    private final List<FakeTargetServer> servers = new ArrayList<>();
    private final HttpClient http;
    private final DutyThread steps;
    private final DutyThread announcer;
    private final DutyThread prober;
    private AdminServer admin;
    private int entryAt;

    private FakeEngineDaemon(FakeEngineSettings settings) {
        this.settings = settings;
        this.http = HttpClient.create(ConnectionProvider.create("fake", 2_000)).responseTimeout(TIMEOUT);
        FakeWeights weights = new FakeWeights(settings.weightLoadsAtOnce());
        for (FakeTargetSettings t : settings.targets()) {
            FakeTarget target = new FakeTarget(t, weights);
            targets.add(target);
            servers.add(new FakeTargetServer(target));
        }
        steps = new DutyThread("engine", RING, STEP_MILLIS, this::step);
        announcer = new DutyThread("announcer", RING, settings.announceMillis(), this::announce);
        prober = new DutyThread("members", RING, PROBE_MILLIS, this::probeMembers);
    }

    /**
     * Starts the targets.
     *
     * @param settings the settings
     * @return the running program
     * @throws ProgramException if a port cannot be opened
     */
    public static FakeEngineDaemon start(FakeEngineSettings settings) throws ProgramException {
        FakeEngineDaemon daemon = new FakeEngineDaemon(settings);
        for (FakeTargetServer s : daemon.servers) {
            s.open();
        }
        daemon.admin = AdminServer.open(settings.admin(), new PrometheusRegistry(), () -> true, daemon::dump);
        daemon.steps.start();
        daemon.announcer.start();
        daemon.prober.start();
        return daemon;
    }

    /**
     * Gives the ports of the targets.
     *
     * @return the port of each target
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
        steps.close();
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
        NetAddress entry =
                settings.entries().get(Math.floorMod(entryAt, settings.entries().size()));
        http.post()
                .uri("http://" + entry + EnginePaths.ANNOUNCEMENTS)
                .send(body(announcement))
                .response()
                .subscribe(
                        r -> {
                            if (r.status().code() != 200) {
                                nextEntry(entry);
                            }
                        },
                        e -> nextEntry(entry));
    }

    private void nextEntry(NetAddress failed) {
        announcer.offer(() -> {
            if (settings.entries()
                    .get(Math.floorMod(entryAt, settings.entries().size()))
                    .equals(failed)) {
                entryAt++;
                LOG.infof("fake: announces at another entry than %s", failed);
            }
        });
    }

    private void probeMembers() {
        for (FakeTarget t : targets) {
            if (t.faults().dead() || t.faults().paused()) {
                continue;
            }
            for (EngineOrder.Member m : t.membership().others()) {
                probe(t, m);
            }
        }
    }

    private void probe(FakeTarget target, EngineOrder.Member member) {
        http.get()
                .uri("http://" + member.address() + EnginePaths.MEMBERSHIP)
                .responseSingle((res, bytes) -> bytes.asString())
                .subscribe(text -> heard(target, member, text), e -> {});
    }

    private static void heard(FakeTarget target, EngineOrder.Member member, String text) {
        try {
            FakeTargetServer.Member answer = Json.MAPPER.readValue(text, FakeTargetServer.Member.class);
            target.heardFrom(member.instance(), answer.membership());
        } catch (JsonProcessingException e) {
            LOG.warnf("fake: %s gave a malformed answer", member.instance());
        }
    }

    private static Mono<ByteBuf> body(Object value) {
        return Mono.fromCallable(() ->
                Unpooled.wrappedBuffer(Json.MAPPER.writeValueAsString(value).getBytes(StandardCharsets.UTF_8)));
    }

    private Object dump() {
        Map<String, Announcement> out = new TreeMap<>();
        targets.forEach(t -> out.put(t.settings().instance().value(), t.announcement()));
        return out;
    }
}
