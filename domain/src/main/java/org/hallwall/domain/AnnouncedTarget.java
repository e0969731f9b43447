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
package org.hallwall.domain;

import org.hallwall.core.id.InstanceId;
import org.hallwall.engine.Announcement;

/**
 * A target with its latest announcement.
 *
 * @param announcement the announcement
 * @param announcedAt the time of the announcement on the clock of this process
 */
public record AnnouncedTarget(Announcement announcement, long announcedAt) {

    /**
     * Returns the name of the target.
     *
     * @return the name
     */
    public InstanceId instance() {
        return announcement.instance();
    }

    /**
     * Returns whether the announcement is still valid.
     *
     * @param now the current monotonic time in milliseconds
     * @param lease how long an announcement is valid
     * @return true if so
     */
    public boolean isFresh(long now, long lease) {
        return now - announcedAt <= lease;
    }
}
