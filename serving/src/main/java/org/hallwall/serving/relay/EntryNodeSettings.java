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
 * Settings of an entry.
 *
 * @param fleet the name of the deployment, shared by all its processes
 * @param instance the id of this entry
 * @param failureDomain the failure domain of this entry
 * @param listen the address for client connections
 * @param forwarding the address for requests from other entries
 * @param seeds the control instances to connect to first
 * @param retryRatio retries allowed per request
 * @param retryExtra additional retries allowed per window, shared by all entries
 * @param retryWindowMillis the window of the retry budget, in milliseconds
 * @param drainNoticeMillis how long new requests that can complete are accepted after shutdown has begun, in milliseconds
 * @param stopTimeoutMillis the time after which requests in progress are aborted at shutdown, in milliseconds
 * @param mechanisms the enabled decision mechanisms
 */
public record EntryNodeSettings(
        String fleet,
        InstanceId instance,
        String failureDomain,
        NetAddress listen,
        NetAddress forwarding,
        List<ControlMember> seeds,
        double retryRatio,
        double retryExtra,
        long retryWindowMillis,
        long drainNoticeMillis,
        long stopTimeoutMillis,
        Mechanisms mechanisms) {}
