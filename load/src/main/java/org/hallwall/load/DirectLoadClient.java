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
package org.hallwall.load;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.hallwall.core.id.AttemptId;
import org.hallwall.core.settings.Json;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.engine.EngineClient;
import org.hallwall.engine.EnginePaths;
import org.hallwall.engine.EngineRun;
import org.hallwall.engine.GroupMembership;
import org.hallwall.program.InterimResponses;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Sends the requests of an experiment directly to the group heads, as a baseline without entries. */
final class DirectLoadClient {

    private final LoadExperiment experiment;
    private final EngineClient engines =
            new EngineClient(InterimResponses.skip(HttpClient.create(EngineClient.createPool())));
    private final List<Head> heads = new ArrayList<>();

    DirectLoadClient(LoadExperiment experiment) {
        this.experiment = experiment;
        for (NetAddress a : experiment.engines()) {
            GroupMembership m = fetchMembership(a);
            if (m != null) {
                heads.add(new Head(a, m));
            }
        }
    }

    Mono<LoadOutcome> send(LoadRequest r, long startNanos) {
        long due = startNanos + r.dueNanos();
        Head head = heads.get(r.number() % heads.size());
        EngineRun run = new EngineRun(
                new AttemptId(UUID.randomUUID().toString()),
                head.membership.group(),
                head.membership.fencing(),
                null,
                "user: " + r.prompt() + "\n",
                experiment.tokens(),
                1);
        long[] first = {0};
        int[] frames = {0};
        return engines.startRun(head.address, run)
                .doOnNext(batch -> {
                    first[0] = first[0] == 0 ? System.nanoTime() - due : first[0];
                    frames[0] += batch.size();
                })
                .then(Mono.fromSupplier(() -> outcome(r, frames[0], first[0], due)))
                .onErrorResume(e -> Mono.just(
                        new LoadOutcome(r, "broken", null, first[0], System.nanoTime() - due, List.of(), false)));
    }

    private LoadOutcome outcome(LoadRequest r, int frames, long first, long due) {
        String kind = frames == experiment.tokens() + 1 ? LoadOutcome.WHOLE : LoadOutcome.WRONG;
        return new LoadOutcome(r, kind, null, first, System.nanoTime() - due, List.of(), false);
    }

    /** Returns the membership if the engine is the head of its group, and null otherwise: only heads accept runs. */
    private static GroupMembership fetchMembership(NetAddress a) {
        String text = HttpClient.create()
                .get()
                .uri("http://" + a + EnginePaths.MEMBERSHIP)
                .responseContent()
                .aggregate()
                .asString()
                .block();
        try {
            Member m = Json.MAPPER.readValue(text, Member.class);
            String self = Json.MAPPER.readTree(text).path("instance").asText();
            boolean head = m.membership() != null
                    && m.membership().members().get(0).value().equals(self);
            return head ? m.membership() : null;
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("malformed membership response from an engine", e);
        }
    }

    private record Head(NetAddress address, GroupMembership membership) {}

    /** Membership response of an engine. */
    record Member(GroupMembership membership) {}
}
