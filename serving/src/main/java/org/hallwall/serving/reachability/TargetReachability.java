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
package org.hallwall.serving.reachability;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.jboss.logging.Logger;

/**
 * Records which targets this process cannot connect to. That a connection fails does not show whether the target or the
 * link to it has failed. Thread-safe.
 */
public final class TargetReachability {

    private static final Logger LOG = Logger.getLogger(TargetReachability.class);

    /** Time after the last failure for which a target without any contact counts as unreachable, in milliseconds. */
    private static final long RETENTION_MILLIS = 30_000;

    private final Ticker ticker;
    private final Map<InstanceId, Loss> losses = new HashMap<>();

    /**
     * Creates the record; all targets count as reachable.
     *
     * @param ticker the clock
     */
    public TargetReachability(Ticker ticker) {
        this.ticker = ticker;
    }

    /**
     * Records that a connection could not be established.
     *
     * @param target the target
     * @param reason the reason, for the log
     */
    public synchronized void recordConnectFailure(InstanceId target, String reason) {
        long now = ticker.millis();
        losses.values().removeIf(l -> now - l.lastFailureAt() > RETENTION_MILLIS);
        Loss known = losses.get(target);
        losses.put(target, new Loss(known == null ? now : known.since(), now));
        if (known == null) {
            LOG.infof("reachability: lost %s, %s; %d targets are unreachable", target, reason, losses.size());
        }
    }

    /**
     * Records a response to a request, or a new connection.
     *
     * @param target the target
     * @param startedAt the time at which the request was sent or the connection attempt was started; a response to a
     *     request from before the last failure does not show that connections can be established
     */
    public synchronized void recordContact(InstanceId target, long startedAt) {
        Loss known = losses.get(target);
        if (known != null && startedAt > known.lastFailureAt()) {
            losses.remove(target);
            LOG.infof(
                    "reachability: regained %s after %d ms; %d targets are unreachable",
                    target, ticker.millis() - known.since(), losses.size());
        }
    }

    /**
     * Returns whether the last connection attempt at a target has failed.
     *
     * @param target the target
     * @return true if no contact has been recorded since
     */
    public synchronized boolean isUnreachable(InstanceId target) {
        Loss known = losses.get(target);
        return known != null && ticker.millis() - known.lastFailureAt() <= RETENTION_MILLIS;
    }

    /**
     * Returns whether there may be unreachable targets.
     *
     * @return false if all targets are reachable
     */
    public synchronized boolean hasUnreachable() {
        return !losses.isEmpty();
    }

    /**
     * Returns the number of unreachable targets.
     *
     * @return the number of targets
     */
    public synchronized int unreachableCount() {
        return describe().size();
    }

    /**
     * Describes the unreachable targets, for the state dump.
     *
     * @return the time since the first failure in milliseconds, by target
     */
    public synchronized Map<String, Long> describe() {
        long now = ticker.millis();
        Map<String, Long> out = new TreeMap<>();
        losses.forEach((id, l) -> {
            if (now - l.lastFailureAt() <= RETENTION_MILLIS) {
                out.put(id.value(), now - l.since());
            }
        });
        return out;
    }

    private record Loss(long since, long lastFailureAt) {}
}
