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

/**
 * A retry that is charged to the budget of its service. It counts in every window until it is settled, since a target that is stopped
 * reads it only when it continues. Confined to the I/O thread.
 */
final class RetryCharge {

    private final RetryWindow window;
    private boolean open = true;

    /**
     * Creates an open charge.
     *
     * @param window the window in which the retry counts
     */
    RetryCharge(RetryWindow window) {
        this.window = window;
    }

    /**
     * Settles the charge: the retry has arrived, or never will. From now on it counts as one that arrived at this time.
     *
     * @param now the current time, in milliseconds
     */
    void settle(long now) {
        if (open) {
            open = false;
            window.recordSettled(now);
        }
    }
}
