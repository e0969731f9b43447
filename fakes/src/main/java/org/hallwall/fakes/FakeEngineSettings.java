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
package org.hallwall.fakes;

import java.util.List;

import org.hallwall.core.settings.NetAddress;
import org.hallwall.program.DaemonSettings;
import org.hallwall.program.LogFormat;

/**
 * The settings of the stand-in program; it may hold many targets.
 *
 * @param entries the addresses at which targets announce themselves; the first one that answers is used
 * @param targets the targets
 * @param admin where the admin port listens
 * @param announceMillis how often a target announces itself
 * @param weightLoadsAtOnce how many targets of this process may load weights at once
 * @param logFormat the form of the log
 * @param logLevel the least level logged
 */
public record FakeEngineSettings(
        List<NetAddress> entries,
        List<FakeTargetSettings> targets,
        NetAddress admin,
        Long announceMillis,
        Integer weightLoadsAtOnce,
        LogFormat logFormat,
        String logLevel)
        implements DaemonSettings {

    private static final long USUAL_ANNOUNCE_MILLIS = 500;
    private static final int USUAL_LOADS = 1_000;

    /** Fills in what the file leaves out. */
    public FakeEngineSettings {
        announceMillis = announceMillis == null ? USUAL_ANNOUNCE_MILLIS : announceMillis;
        weightLoadsAtOnce = weightLoadsAtOnce == null ? USUAL_LOADS : weightLoadsAtOnce;
        logFormat = logFormat == null ? LogFormat.TEXT : logFormat;
        logLevel = logLevel == null ? "INFO" : logLevel;
    }
}
