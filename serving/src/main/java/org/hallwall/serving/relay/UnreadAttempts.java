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

import org.hallwall.core.id.InstanceId;
import org.jboss.logging.Logger;

/**
 * The abandoned attempts that a target may still read.
 *
 * @param count the number of attempts
 * @param oldestMillis the time since the first of them was sent, in milliseconds
 */
public record UnreadAttempts(int count, long oldestMillis) {

    private static final Logger LOG = Logger.getLogger(UnreadAttempts.class);

    static final UnreadAttempts NONE = new UnreadAttempts(0, 0);

    /** Logs why the attempts no longer count as unread. */
    void logSettled(InstanceId target, String reason) {
        LOG.infof(
                "target %s: %d abandoned attempts, the first sent %d ms ago, count as arrived: %s",
                target, count, oldestMillis, reason);
    }
}
