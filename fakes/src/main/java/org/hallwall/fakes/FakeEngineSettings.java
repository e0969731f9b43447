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
 * Settings of the fake engine program, which can host several targets.
 *
 * @param entries the entry addresses that receive announcements; on failure the next one is used
 * @param targets the hosted targets
 * @param admin the address of the admin port
 * @param announceMillis the announcement interval, in milliseconds
 * @param weightLoadsAtOnce the maximum number of concurrent weight loads in this process
 * @param logFormat the log format
 * @param logLevel the minimum log level
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

    private static final long DEFAULT_ANNOUNCE_MILLIS = 500;
    private static final int DEFAULT_WEIGHT_LOADS = 1_000;

    /** Applies defaults for missing settings. */
    public FakeEngineSettings {
        announceMillis = announceMillis == null ? DEFAULT_ANNOUNCE_MILLIS : announceMillis;
        weightLoadsAtOnce = weightLoadsAtOnce == null ? DEFAULT_WEIGHT_LOADS : weightLoadsAtOnce;
        logFormat = logFormat == null ? LogFormat.TEXT : logFormat;
        logLevel = logLevel == null ? "INFO" : logLevel;
    }
}
