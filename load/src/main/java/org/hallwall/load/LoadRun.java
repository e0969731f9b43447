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

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiFunction;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.buffer.Unpooled;
import org.hallwall.core.settings.Json;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.fakes.FakeCompletion;
import org.hallwall.fakes.FakeTargetHistory;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Runs an experiment with open-loop load: sends each request at its scheduled time and injects the faults. */
final class LoadRun {

    private static final Logger LOG = Logger.getLogger(LoadRun.class);
    private static final Duration GRACE_PERIOD = Duration.ofSeconds(10);
    private static final double NANOS_PER_SECOND = 1e9;

    private final LoadExperiment experiment;
    private final Queue<LoadOutcome> outcomes = new ConcurrentLinkedQueue<>();

    LoadRun(LoadExperiment experiment) {
        this.experiment = experiment;
    }

    LoadResult run() throws InterruptedException {
        List<LoadRequest> requests = ArrivalGenerator.generate(experiment);
        BiFunction<LoadRequest, Long, Mono<LoadOutcome>> sender = sender();
        CountDownLatch open = new CountDownLatch(requests.size());
        long start = System.nanoTime();
        Thread faults = new Thread(() -> injectFaults(start), "faults");
        faults.setDaemon(true);
        faults.start();
        for (LoadRequest r : requests) {
            parkUntil(start + r.dueNanos());
            sender.apply(r, start).doFinally(end -> open.countDown()).subscribe(outcomes::add);
        }
        long timeoutMillis = experiment.deadlineMillis() + GRACE_PERIOD.toMillis();
        if (!open.await(timeoutMillis, TimeUnit.MILLISECONDS)) {
            LOG.warnf("load: %d requests did not complete", open.getCount());
        }
        List<LoadOutcome> counted = new ArrayList<>();
        for (LoadOutcome o : outcomes) {
            if (o.request().counted()) {
                counted.add(o);
            }
        }
        return new LoadResult(experiment, counted, (int) open.getCount(), countDuplicateRuns(requests));
    }

    private BiFunction<LoadRequest, Long, Mono<LoadOutcome>> sender() {
        if (experiment.direct()) {
            DirectLoadClient direct = new DirectLoadClient(experiment);
            return direct::send;
        }
        LoadClient caller = new LoadClient(experiment);
        return caller::send;
    }

    private static void parkUntil(long due) {
        long left = due - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = due - System.nanoTime();
        }
    }

    private void injectFaults(long start) {
        for (LoadExperiment.Fault f : experiment.faults()) {
            parkUntil(start + (long) ((experiment.warmupSeconds() + f.atMillis() / 1e3) * NANOS_PER_SECOND));
            LOG.infof("load: injecting %s into %s", f.change(), f.engine());
            HttpClient.create()
                    .post()
                    .uri("http://" + f.engine() + "/fake/faults")
                    .send(Mono.fromSupplier(
                            () -> Unpooled.wrappedBuffer(f.change().toString().getBytes(StandardCharsets.UTF_8))))
                    .response()
                    .block(GRACE_PERIOD);
        }
    }

    /** Counts the non-repeatable requests that the engines recorded more than once. */
    private int countDuplicateRuns(List<LoadRequest> requests) {
        Map<String, Integer> runs = new HashMap<>();
        for (NetAddress a : experiment.engines()) {
            for (FakeTargetHistory.RunRecord r : fetchAccount(a).runs()) {
                runs.merge(r.promptHash(), 1, Integer::sum);
            }
        }
        int duplicates = 0;
        for (LoadRequest r : requests) {
            String hash = FakeCompletion.hash("user: " + r.prompt() + "\n");
            duplicates += r.idempotencyKey() != null && runs.getOrDefault(hash, 0) > 1 ? 1 : 0;
        }
        return duplicates;
    }

    private static FakeTargetHistory.Snapshot fetchAccount(NetAddress a) {
        String text = HttpClient.create()
                .get()
                .uri("http://" + a + "/fake/account")
                .responseContent()
                .aggregate()
                .asString()
                .onErrorReturn("{\"runs\":[],\"groups\":[],\"calls\":[]}")
                .block(GRACE_PERIOD);
        try {
            return Json.MAPPER.readValue(text, FakeTargetHistory.Snapshot.class);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("malformed run records from an engine", e);
        }
    }
}
