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

import java.io.Closeable;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.jboss.logging.Logger;
import org.jctools.queues.MpscArrayQueue;

/** One thread that owns the state of one duty; others hand it work through a bounded ring. */
public final class DutyThread implements Closeable {

    private static final Logger LOG = Logger.getLogger(DutyThread.class);
    private static final long JOIN_MILLIS = 5_000;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final String name;
    private final MpscArrayQueue<Runnable> ring;
    private final long tickNanos;
    private final Runnable tick;
    private final Thread thread;
    private final AtomicBoolean parked = new AtomicBoolean();
    private final AtomicLong refused = new AtomicLong();
    private volatile boolean stopping;

    /**
     * Creates a duty; {@link #start()} starts it.
     *
     * @param name the name of the thread
     * @param capacity how much work the ring holds
     * @param tickMillis how often the tick runs
     * @param tick the periodic work
     */
    public DutyThread(String name, int capacity, long tickMillis, Runnable tick) {
        this.name = name;
        this.ring = new MpscArrayQueue<>(capacity);
        this.tickNanos = tickMillis * NANOS_PER_MILLI;
        this.tick = tick;
        this.thread = new Thread(this::run, name);
        this.thread.setDaemon(true);
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /**
     * Hands work to the duty; never blocks.
     *
     * @param work the work
     * @return false if the ring is full or the duty is stopping; the work will not run
     */
    public boolean offer(Runnable work) {
        if (stopping || !ring.offer(work)) {
            refused.incrementAndGet();
            return false;
        }
        if (parked.get()) {
            LockSupport.unpark(thread);
        }
        return true;
    }

    /**
     * Describes the ring for a dump.
     *
     * @return the state
     */
    public DutyState state() {
        return new DutyState(name, ring.size(), ring.capacity(), refused.get());
    }

    @Override
    public void close() {
        stopping = true;
        LockSupport.unpark(thread);
        if (Thread.currentThread() == thread) {
            return;
        }
        try {
            thread.join(JOIN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        long nextTick = System.nanoTime() + tickNanos;
        while (!stopping) {
            drain();
            long now = System.nanoTime();
            if (now - nextTick >= 0) {
                guard(tick);
                nextTick = now + tickNanos;
            } else {
                park(nextTick - now);
            }
        }
        drain();
    }

    private void drain() {
        int most = ring.capacity();
        for (int i = 0; i < most; i++) {
            Runnable work = ring.poll();
            if (work == null) {
                return;
            }
            guard(work);
        }
    }

    private void park(long nanos) {
        parked.set(true);
        if (ring.isEmpty() && !stopping) {
            LockSupport.parkNanos(this, nanos);
        }
        parked.set(false);
    }

    private void guard(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            LOG.errorf(e, "duty: work failed on %s", name);
        }
    }
}
