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

import org.jboss.logging.Logger;

/** A task of a timer that logs its failures: a timer whose task throws would not run again. */
final class GuardedTask implements Runnable {

    private static final Logger LOG = Logger.getLogger(GuardedTask.class);

    private final String name;
    private final Runnable task;
    private boolean failed;

    /**
     * Creates a task.
     *
     * @param name its name in the log
     * @param task the work of each run
     */
    GuardedTask(String name, Runnable task) {
        this.name = name;
        this.task = task;
    }

    /** Runs the task; only the first of consecutive failures is logged, since timers run many times a second. */
    @Override
    public void run() {
        try {
            task.run();
            failed = false;
        } catch (RuntimeException | Error e) {
            if (!failed) {
                LOG.errorf(e, "timer: the %s failed, it stays scheduled", name);
            }
            failed = true;
        }
    }
}
