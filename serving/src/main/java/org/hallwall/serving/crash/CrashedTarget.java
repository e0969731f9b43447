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
package org.hallwall.serving.crash;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.hallwall.core.id.InstanceId;

/**
 * A target that crashed, and the requests that one entry had sent to it.
 *
 * @param target the target's start
 * @param running the requests in progress on the target when it crashed or shortly before, and the prompt parts on which it had not
 *     written a response yet or had just written one
 * @param begun those of {@code running} for which the target had just begun to write the response
 * @param established those of {@code running} for which the target had written a part of the response, or all of it
 * @param proven the prompt parts in {@code running} that targets have answered earlier, though not just before
 */
public record CrashedTarget(
        InstanceId target,
        List<Fingerprint> running,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Fingerprint> begun,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Fingerprint> established,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Fingerprint> proven) {

    /** Reads reports without the progress of responses, as earlier versions write them. */
    public CrashedTarget {
        begun = begun == null ? List.of() : begun;
        established = established == null ? List.of() : established;
        proven = proven == null ? List.of() : proven;
    }

    /**
     * Adds the prompt parts that the target answered and did not outlive.
     *
     * @param answers the answers
     * @return the crash with all of it
     */
    CrashedTarget withAnswers(List<UnconfirmedAnswers.Answer> answers) {
        Set<Fingerprint> allRunning = new LinkedHashSet<>(running);
        Set<Fingerprint> allEstablished = new LinkedHashSet<>(established);
        for (UnconfirmedAnswers.Answer a : answers) {
            allRunning.addAll(a.answered());
            allEstablished.addAll(a.answered());
        }
        allEstablished.removeAll(begun);
        return new CrashedTarget(target, List.copyOf(allRunning), begun, List.copyOf(allEstablished), proven);
    }

    /**
     * Creates a report without the progress of responses.
     *
     * @param target the target's start
     * @param running the requests in progress
     */
    public CrashedTarget(InstanceId target, List<Fingerprint> running) {
        this(target, running, List.of(), List.of(), List.of());
    }
}
