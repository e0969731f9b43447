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
package org.hallwall.entry.relay;

import org.hallwall.core.id.GroupId;
import org.hallwall.core.verdict.Verdict;

/** Thrown when an attempt to run a request on a group fails. The verdict tells whether the request may have run. */
final class AttemptException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient GroupId group;
    private final Verdict verdict;
    private final boolean partlyDelivered;

    AttemptException(GroupId group, Verdict verdict, boolean delivered, String message) {
        super(message);
        this.group = group;
        this.verdict = verdict;
        this.partlyDelivered = delivered;
    }

    GroupId group() {
        return group;
    }

    Verdict verdict() {
        return verdict;
    }

    /** Returns whether frames of the attempt were passed on before it failed. */
    boolean isPartlyDelivered() {
        return partlyDelivered;
    }
}
