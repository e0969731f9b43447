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

import java.util.List;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.serving.decision.Mechanisms;
import org.hallwall.serving.target.FeedMessage.ControlMember;

/**
 * What an entry knows at its start.
 *
 * @param fleet the name that all processes of the system share
 * @param instance this entry
 * @param failureDomain its failure domain
 * @param listen where callers connect
 * @param seeds some control instances
 * @param firstStart whether the whole system starts for the first time
 * @param repeatRatio repeats allowed for each request
 * @param repeatExtra repeats allowed besides, over the whole system
 * @param repeatWindowMillis the window of both, in milliseconds
 * @param noticeMillis how long callers still come after a stop was asked for, in milliseconds
 * @param stopMillis how long a stop may take, in milliseconds
 * @param mechanisms the mechanisms of its decisions in use
 */
public record EntryNodeSettings(
        String fleet,
        InstanceId instance,
        String failureDomain,
        NetAddress listen,
        List<ControlMember> seeds,
        boolean firstStart,
        double repeatRatio,
        double repeatExtra,
        long repeatWindowMillis,
        long noticeMillis,
        long stopMillis,
        Mechanisms mechanisms) {}
