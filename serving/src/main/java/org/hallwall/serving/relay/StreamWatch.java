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

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;

/** Looks at all streams in progress at short intervals with one timer; used on the I/O thread only. */
public final class StreamWatch {

    /** How often stalled streams are looked for, in milliseconds; a fraction of the shortest patience. */
    private static final long LOOK_MILLIS = 20;

    private final Set<Runnable> watched = new LinkedHashSet<>();
    private ScheduledFuture<?> timer;

    /**
     * Begins to look at a stream.
     *
     * @param loop the I/O thread
     * @param look called at each interval
     */
    void add(EventLoop loop, Runnable look) {
        watched.add(look);
        if (timer == null) {
            timer = loop.scheduleAtFixedRate(this::lookAtAll, LOOK_MILLIS, LOOK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Ends to look at a stream.
     *
     * @param look what was added
     */
    void remove(Runnable look) {
        watched.remove(look);
    }

    private void lookAtAll() {
        if (watched.isEmpty()) {
            timer.cancel(false);
            timer = null;
            return;
        }
        List.copyOf(watched).forEach(Runnable::run);
    }
}
