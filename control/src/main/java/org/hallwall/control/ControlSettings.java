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
package org.hallwall.control;

import java.nio.file.Path;
import java.util.List;

import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.program.DaemonSettings;
import org.hallwall.program.LogFormat;

/**
 * The settings of a voter.
 *
 * @param fleet the name of the fleet
 * @param instance this instance
 * @param failureDomain its failure domain
 * @param dataFolder the directory of the persistent state
 * @param voters all voters, including this one
 * @param peerListen the listen address of the peer server; null for the address given in {@code voters}
 * @param api the listen address of the resource API
 * @param admin the listen address of the admin server
 * @param operatorKeySha256 the SHA-256 hashes of operator keys; may be empty only if the API listens on loopback
 * @param darkAfterMillis the time without reports after which a failure domain loses its shares
 * @param logFormat the log format
 * @param logLevel the minimum log level
 */
public record ControlSettings(
        String fleet,
        InstanceId instance,
        FailureDomainId failureDomain,
        Path dataFolder,
        List<Voter> voters,
        NetAddress peerListen,
        NetAddress api,
        NetAddress admin,
        List<String> operatorKeySha256,
        Long darkAfterMillis,
        LogFormat logFormat,
        String logLevel)
        implements DaemonSettings {

    private static final long DEFAULT_DARK_AFTER_MILLIS = 60_000;

    /** Applies default values. */
    public ControlSettings {
        operatorKeySha256 = operatorKeySha256 == null ? List.of() : List.copyOf(operatorKeySha256);
        darkAfterMillis = darkAfterMillis == null ? DEFAULT_DARK_AFTER_MILLIS : darkAfterMillis;
        logFormat = logFormat == null ? LogFormat.TEXT : logFormat;
        logLevel = logLevel == null ? "INFO" : logLevel;
    }

    /**
     * One voter.
     *
     * @param instance the voter
     * @param peer its peer address
     */
    public record Voter(InstanceId instance, NetAddress peer) {}

    /**
     * Returns the listen address of the peer server.
     *
     * @return the address; null if this instance is not among the voters
     */
    public NetAddress listenAddress() {
        if (peerListen != null) {
            return peerListen;
        }
        for (Voter v : voters) {
            if (v.instance().equals(instance)) {
                return v.peer();
            }
        }
        return null;
    }

    /**
     * Returns the names of all voters.
     *
     * @return the names
     */
    public List<InstanceId> voterNames() {
        return voters.stream().map(Voter::instance).toList();
    }
}
