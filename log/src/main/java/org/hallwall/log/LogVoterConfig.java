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
package org.hallwall.log;

import java.util.List;

import org.hallwall.core.id.InstanceId;

/**
 * The configuration of one voter.
 *
 * @param self this voter
 * @param voters the initial voters, including this one
 * @param toleratedDiskFailures the number of simultaneous disk failures that must not lose accepted commands
 * @param timing the timeouts
 */
public record LogVoterConfig(InstanceId self, List<InstanceId> voters, int toleratedDiskFailures, LogTiming timing) {

    /**
     * Creates a configuration that tolerates the failure of a minority of the voters.
     *
     * @param self this voter
     * @param voters the initial voters, including this one
     * @param timing the timeouts
     */
    public LogVoterConfig(InstanceId self, List<InstanceId> voters, LogTiming timing) {
        this(self, voters, (voters.size() - 1) / 2, timing);
    }
}
