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

import org.hallwall.serving.reachability.PartitionDetector;
import org.hallwall.serving.target.FeedMessage.StalledHead;

/** Decides whether a stalled stream is also sent to another recipient. Confined to the I/O thread. */
final class StallPolicy {

    private final PartitionDetector detector;
    private final StalledHeads stalledHeads;

    /**
     * Creates a policy.
     *
     * @param detector detects that this entry has lost its links
     * @param stalledHeads queries the liveness of heads
     */
    StallPolicy(PartitionDetector detector, StalledHeads stalledHeads) {
        this.detector = detector;
        this.stalledHeads = stalledHeads;
    }

    /**
     * Returns whether another recipient should be tried beside a stalled one.
     *
     * @param hop the current attempt
     * @param timeout the stall timeout of the stream
     * @param lastProgressAt the time of the last event of the stream or of the recipient, in milliseconds
     * @param now the current time, in milliseconds
     * @return true if the recipient is considered lost
     */
    boolean shouldHedge(NextHop hop, StallTimeout timeout, long lastProgressAt, long now) {
        long silentMillis = now - lastProgressAt;
        if (hop.isEntry()) {
            return silentMillis > timeout.millisForEntry();
        }
        if (detector.isPartitioned()) {
            // the target may be working, but its events do not arrive here
            return true;
        }
        StalledHead head = toStalledHead(hop.target());
        if (head == null) {
            return silentMillis > timeout.millisWithoutGroup();
        }
        return stalledHeads.isLikelyLost(head, lastProgressAt, timeout.millis());
    }

    /** Returns whether the group of a stalled recipient has lost a member, according to the controller. */
    boolean isKnownLost(NextHop hop, long lastProgressAt) {
        StalledHead head = hop.isEntry() ? null : toStalledHead(hop.target());
        return head != null && stalledHeads.isKnownLost(head, lastProgressAt);
    }

    /** Describes what is known about a stalled recipient, for logs. */
    String describe(NextHop hop) {
        if (detector.isPartitioned()) {
            return "this entry has lost its links";
        }
        StalledHead head = hop.isEntry() ? null : toStalledHead(hop.target());
        return head == null ? "the recipient has no group" : stalledHeads.describe(head);
    }

    /** Reports that the connection to a target has failed, if it is the head of a group. */
    void reportUnreachable(ServingTarget target) {
        StalledHead head = toStalledHead(target);
        if (head != null) {
            stalledHeads.reportUnreachable(head);
        }
    }

    private static StalledHead toStalledHead(ServingTarget t) {
        return t.group() == null
                ? null
                : new StalledHead(t.instance(), t.group().name(), t.group().epoch());
    }
}
