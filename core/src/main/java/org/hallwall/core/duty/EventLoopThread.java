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

/**
 * An event loop: a single thread that runs queued tasks and a periodic task, and thereby confines its state to one
 * thread.
 */
public final class EventLoopThread implements Closeable {

    private static final Logger LOG = Logger.getLogger(EventLoopThread.class);
    private static final long JOIN_TIMEOUT_MILLIS = 5_000;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final String name;
    private final MpscArrayQueue<Runnable> queue;
    private final long tickNanos;
    private final Runnable tick;
    private final Thread thread;
    private final AtomicBoolean parked = new AtomicBoolean();
    private final AtomicLong rejected = new AtomicLong();
    private volatile boolean stopping;

    /**
     * Creates an event loop; {@link #start()} starts it.
     *
     * @param name the name of the thread
     * @param capacity the capacity of the task queue
     * @param tickMillis the interval of the periodic task
     * @param tick the periodic task
     */
    public EventLoopThread(String name, int capacity, long tickMillis, Runnable tick) {
        this.name = name;
        this.queue = new MpscArrayQueue<>(capacity);
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
     * Enqueues a task without blocking.
     *
     * @param task the task
     * @return false if the queue is full or the event loop is stopping; the task will not run
     */
    public boolean offer(Runnable task) {
        if (stopping || !queue.offer(task)) {
            rejected.incrementAndGet();
            return false;
        }
        if (parked.get()) {
            LockSupport.unpark(thread);
        }
        return true;
    }

    /**
     * Returns whether the thread runs tasks.
     *
     * @return false before the start and once the event loop is stopping
     */
    public boolean isRunning() {
        return thread.isAlive() && !stopping;
    }

    /**
     * Returns the state of the task queue.
     *
     * @return the state
     */
    public EventLoopState state() {
        return new EventLoopState(name, queue.size(), queue.capacity(), rejected.get());
    }

    @Override
    public void close() {
        stopping = true;
        LockSupport.unpark(thread);
        if (Thread.currentThread() == thread) {
            return;
        }
        try {
            thread.join(JOIN_TIMEOUT_MILLIS);
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
                runSafely(tick);
                nextTick = now + tickNanos;
            } else {
                park(nextTick - now);
            }
        }
        drain();
    }

    private void drain() {
        int maxTasks = queue.capacity();
        for (int i = 0; i < maxTasks; i++) {
            Runnable task = queue.poll();
            if (task == null) {
                return;
            }
            runSafely(task);
        }
    }

    private void park(long nanos) {
        parked.set(true);
        if (queue.isEmpty() && !stopping) {
            LockSupport.parkNanos(this, nanos);
        }
        parked.set(false);
    }

    /** Runs a task; the thread outlives any failure, since its process stays in service. */
    private void runSafely(Runnable task) {
        try {
            task.run();
        } catch (Throwable e) {
            logSafely(e);
        }
    }

    /** Logs a failure; without memory, the log may fail too. */
    private void logSafely(Throwable failure) {
        try {
            LOG.errorf(failure, "duty: task failed on thread %s", name);
        } catch (Throwable ignored) {
            // the next failure is logged once there is memory
        }
    }
}
