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
 * The place of a voter among the voters.
 *
 * @param self this voter
 * @param voters all voters, this one included
 * @param disksLost how many disks may be lost at once with all that was accepted kept
 * @param timing the time limits
 */
public record LogSeat(InstanceId self, List<InstanceId> voters, int disksLost, LogTiming timing) {

    /**
     * Creates a seat among a fixed set of voters, which survives the loss of fewer than half of them.
     *
     * @param self this voter
     * @param voters all voters, this one included
     * @param timing the time limits
     */
    public LogSeat(InstanceId self, List<InstanceId> voters, LogTiming timing) {
        this(self, voters, (voters.size() - 1) / 2, timing);
    }
}
