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

/** A link comes up when its peer begins to listen, however long that takes. */
class PeerLinkTest {

    private static final int LINKS = 400;
    private static final Duration WITHIN = Duration.ofSeconds(20);

    private final PeerCodec codec = new PeerCodec(new PeerKinds());
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

    /** The first attempt of a link may begin, and plan the next one, before the link's constructor has ended. */
    @Test
    void linksThatWereMadeBeforeTheirPeerListensComeUp() throws IOException {
        NetAddress address = listen(0);
        server.close();
        for (int n = 0; n < LINKS; n++) {
            links.add(new PeerLink(address, "test", new InstanceId("i-" + n), codec));
        }
        listen(address.port());
        Awaitility.await().atMost(WITHIN).until(() -> links.stream().allMatch(PeerLink::isUp));
    }

    /**
     * The process stands still right after it has planned an attempt, for longer than until that attempt: it runs on another thread, and plans the
     * next one. Seen where an entry that had stood still for 3.5 s at its start never tried one of its links again, and a whole fleet lacked the
     * targets that only this entry heard.
     */
    @Test
    void aLinkThatStandsStillWhileItPlansGoesOnTrying() throws IOException {
        NetAddress address = listen(0);
        server.close();
        AtomicInteger planned = new AtomicInteger();
        CountDownLatch later = new CountDownLatch(1);
        Schedulers.setFactory(new Schedulers.Factory() {
            @Override
            public Scheduler newParallel(int parallelism, ThreadFactory threads) {
                return new StandingScheduler(
                        Schedulers.Factory.super.newParallel(parallelism, threads), planned, later);
            }
        });
        try {
            PeerLink link = new PeerLink(address, "test", new InstanceId("i-1"), codec);
            links.add(link);
            Awaitility.await().atMost(WITHIN).until(() -> later.getCount() == 0);
            listen(address.port());
            Awaitility.await().atMost(WITHIN).until(link::isUp);
            // up by the attempt that stood still, if no other is planned any more
            server.close();
            Awaitility.await().atMost(WITHIN).until(() -> !link.isUp());
            listen(address.port());
            Awaitility.await().atMost(WITHIN).until(link::isUp);
        } finally {
            Schedulers.resetFactory();
        }
    }

    /** Stands still after the first attempt that is planned for later, until that one has run and planned another. */
    private record StandingScheduler(Scheduler real, AtomicInteger planned, CountDownLatch later) implements Scheduler {

        @Override
        public Disposable schedule(Runnable task) {
            return real.schedule(task);
        }

        @Override
        public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
            int number = planned.incrementAndGet();
            Disposable out = real.schedule(
                    () -> {
                        task.run();
                        later.countDown();
                    },
                    delay,
                    unit);
            if (number == 1) {
                // the planned attempt has run whole, with the next one planned and kept
                Awaitility.await().atMost(WITHIN).until(() -> later.getCount() == 0);
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
    void aLinkComesUpAgainWhenItsPeerIsBack() throws IOException {
        NetAddress address = listen(0);
        PeerLink link = new PeerLink(address, "test", new InstanceId("i-1"), codec);
        links.add(link);
        Awaitility.await().atMost(WITHIN).until(link::isUp);
        server.close();
        Awaitility.await().atMost(WITHIN).until(() -> !link.isUp());
        listen(address.port());
        Awaitility.await().atMost(WITHIN).until(link::isUp);
    }
}
