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
package org.hallwall.wire;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.awaitility.Awaitility;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/** Verifies that a link connects as soon as its peer listens, and reconnects after a failure. */
class PeerLinkTest {

    private static final int LINKS = 400;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final PeerCodec codec = new PeerCodec(new PeerMessageTypes());
    private final List<PeerLink> links = new ArrayList<>();
    private PeerServer server;

    private NetAddress listen(int port) throws IOException {
        server = new PeerServer("test", codec, (from, message) -> Mono.empty());
        server.open(new NetAddress("127.0.0.1", port));
        return new NetAddress("127.0.0.1", server.port());
    }

    @AfterEach
    void close() {
        links.forEach(PeerLink::close);
        server.close();
    }

    /** The first attempt may run, and schedule the next one, before the constructor of the link returns. */
    @Test
    void linksConnectOnceThePeerListens() throws IOException {
        NetAddress address = listen(0);
        server.close();
        for (int n = 0; n < LINKS; n++) {
            links.add(new PeerLink(address, "test", new InstanceId("i-" + n), codec));
        }
        listen(address.port());
        Awaitility.await().atMost(TIMEOUT).until(() -> links.stream().allMatch(PeerLink::isUp));
    }

    /**
     * Guards against a pause of the scheduling thread that outlasts the scheduled attempt: the attempt schedules the
     * next one on another thread, and the link must keep reconnecting.
     */
    @Test
    void pauseWhileSchedulingDoesNotStopProbes() throws IOException {
        NetAddress address = listen(0);
        server.close();
        AtomicInteger scheduled = new AtomicInteger();
        CountDownLatch firstDelayedDone = new CountDownLatch(1);
        Schedulers.setFactory(new Schedulers.Factory() {
            @Override
            public Scheduler newParallel(int parallelism, ThreadFactory threads) {
                return new PausingScheduler(
                        Schedulers.Factory.super.newParallel(parallelism, threads), scheduled, firstDelayedDone);
            }
        });
        try {
            PeerLink link = new PeerLink(address, "test", new InstanceId("i-1"), codec);
            links.add(link);
            Awaitility.await().atMost(TIMEOUT).until(() -> firstDelayedDone.getCount() == 0);
            listen(address.port());
            Awaitility.await().atMost(TIMEOUT).until(link::isUp);
            // The link may be connected by the paused attempt alone, so check that it reconnects as well.
            server.close();
            Awaitility.await().atMost(TIMEOUT).until(() -> !link.isUp());
            listen(address.port());
            Awaitility.await().atMost(TIMEOUT).until(link::isUp);
        } finally {
            Schedulers.resetFactory();
        }
    }

    /** Blocks the thread that schedules the first delayed attempt until that attempt has run and scheduled another. */
    private record PausingScheduler(Scheduler real, AtomicInteger scheduled, CountDownLatch firstDelayedDone)
            implements Scheduler {

        @Override
        public Disposable schedule(Runnable task) {
            return real.schedule(task);
        }

        @Override
        public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
            int count = scheduled.incrementAndGet();
            Disposable out = real.schedule(
                    () -> {
                        task.run();
                        firstDelayedDone.countDown();
                    },
                    delay,
                    unit);
            if (count == 1) {
                // The scheduled attempt has completed and scheduled the next one.
                Awaitility.await().atMost(TIMEOUT).until(() -> firstDelayedDone.getCount() == 0);
            }
            return out;
        }

        @Override
        public Worker createWorker() {
            return real.createWorker();
        }

        @Override
        public void dispose() {
            real.dispose();
        }
    }

    @Test
    void linkReconnectsAfterPeerRestart() throws IOException {
        NetAddress address = listen(0);
        PeerLink link = new PeerLink(address, "test", new InstanceId("i-1"), codec);
        links.add(link);
        Awaitility.await().atMost(TIMEOUT).until(link::isUp);
        server.close();
        Awaitility.await().atMost(TIMEOUT).until(() -> !link.isUp());
        listen(address.port());
        Awaitility.await().atMost(TIMEOUT).until(link::isUp);
    }
}
