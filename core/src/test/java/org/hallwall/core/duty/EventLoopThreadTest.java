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
package org.hallwall.core.duty;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Guards against a thread that ends while its process stays in service. */
class EventLoopThreadTest {

    private static final int CAPACITY = 16;
    private static final long TICK_MILLIS = 10;

    private EventLoopThread loop;

    @AfterEach
    void close() {
        loop.close();
    }

    private boolean runsTasks() throws InterruptedException {
        CountDownLatch ran = new CountDownLatch(1);
        loop.offer(ran::countDown);
        return ran.await(5, TimeUnit.SECONDS);
    }

    private static void fail(Throwable e) {
        EventLoopThreadTest.<RuntimeException>sneakyThrow(e);
    }

    @SuppressWarnings("unchecked")
    private static <T extends Throwable> void sneakyThrow(Throwable e) throws T {
        throw (T) e;
    }

    @Test
    void threadOutlivesTasksThatFail() throws Exception {
        loop = new EventLoopThread("test", CAPACITY, TICK_MILLIS, () -> {});
        loop.start();
        for (Throwable e : List.of(
                new IllegalStateException("a test"),
                new OutOfMemoryError("a test"),
                new StackOverflowError("a test"),
                new NoClassDefFoundError("a test"),
                new AssertionError("a test"),
                new Exception("a test"))) {
            loop.offer(() -> fail(e));
            Assertions.assertTrue(runsTasks(), e::toString);
        }
        Assertions.assertTrue(loop.isRunning());
    }

    @Test
    void threadOutlivesAPeriodicTaskThatFails() throws Exception {
        CountDownLatch ticks = new CountDownLatch(3);
        loop = new EventLoopThread("test", CAPACITY, TICK_MILLIS, () -> {
            ticks.countDown();
            throw new OutOfMemoryError("a test");
        });
        loop.start();
        Assertions.assertTrue(ticks.await(5, TimeUnit.SECONDS));
    }

    @Test
    void threadOutlivesALogThatFails() throws Exception {
        Logger log = Logger.getLogger(EventLoopThread.class.getName());
        CountDownLatch logged = new CountDownLatch(1);
        Handler failing = new Handler() {
            @Override
            public void publish(LogRecord r) {
                logged.countDown();
                throw new OutOfMemoryError("a test of the log");
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        };
        log.addHandler(failing);
        try {
            loop = new EventLoopThread("test", CAPACITY, TICK_MILLIS, () -> {});
            loop.start();
            loop.offer(() -> fail(new OutOfMemoryError("a test")));
            Assertions.assertTrue(runsTasks());
            Assertions.assertEquals(0, logged.getCount());
        } finally {
            log.removeHandler(failing);
        }
    }

    @Test
    void runsBetweenStartAndClose() {
        loop = new EventLoopThread("test", CAPACITY, TICK_MILLIS, () -> {});
        Assertions.assertFalse(loop.isRunning());
        loop.start();
        Assertions.assertTrue(loop.isRunning());
        loop.close();
        Assertions.assertFalse(loop.isRunning());
    }
}
