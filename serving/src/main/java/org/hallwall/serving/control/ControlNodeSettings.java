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
package org.hallwall.serving.control;

import java.nio.file.Path;
import java.util.List;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.serving.decision.Mechanisms;
import org.hallwall.serving.group.ControllerTiming;
import org.hallwall.serving.target.FeedMessage.ControlMember;

/**
 * The settings of a control instance.
 *
 * @param fleet the name that all processes of the system share
 * @param self this instance
 * @param peerListen the listen address for peer messages
 * @param dataFolder the data folder
 * @param firstStart whether the whole system starts for the first time
 * @param seeds the control instances that are known initially
 * @param toleratedDiskLosses the number of disks that control instances may lose at once without a loss of committed entries
 * @param timing the time limits of the group controller
 * @param mechanisms the enabled mechanisms of its decisions
 */
public record ControlNodeSettings(
        String fleet,
        ControlMember self,
        NetAddress peerListen,
        Path dataFolder,
        boolean firstStart,
        List<ControlMember> seeds,
        int toleratedDiskLosses,
        ControllerTiming timing,
        Mechanisms mechanisms) {

    /**
     * Returns the addresses of a control instance. Its ID is its host, and all instances use the same ports.
     *
     * @param instance the instance ID
     * @return the control instance
     */
    public ControlMember member(InstanceId instance) {
        String host = instance.value();
        return new ControlMember(
                instance,
                new NetAddress(host, self.peer().port()),
                new NetAddress(host, self.api().port()));
    }
}
