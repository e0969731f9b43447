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
package org.hallwall.serving.relay;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;

/** Runs the periodic checks of all active streams with one timer. Confined to the I/O thread. */
public final class StreamMonitor {

    /** Interval between checks, in milliseconds; a fraction of the shortest stall timeout. */
    private static final long CHECK_INTERVAL_MILLIS = 20;

    private final Map<Runnable, GuardedTask> checks = new LinkedHashMap<>();
    private ScheduledFuture<?> timer;

    /**
     * Adds a check; one that fails runs again, and does not keep the others from running.
     *
     * @param loop the I/O thread
     * @param check the check to run at each interval
     */
    void add(EventLoop loop, Runnable check) {
        checks.putIfAbsent(check, new GuardedTask("check of a stream", check));
        if (timer == null) {
            timer = loop.scheduleAtFixedRate(
                    this::runChecks, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Removes a check.
     *
     * @param check the check to remove
     */
    void remove(Runnable check) {
        checks.remove(check);
    }

    private void runChecks() {
        if (checks.isEmpty()) {
            timer.cancel(false);
            timer = null;
            return;
        }
        List.copyOf(checks.values()).forEach(GuardedTask::run);
    }
}
