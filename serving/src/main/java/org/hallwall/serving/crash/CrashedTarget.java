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

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.hallwall.core.id.InstanceId;

/**
 * A target that crashed, and the requests that one entry had sent to it.
 *
 * @param target the target's start
 * @param running the requests in progress on the target when it crashed or shortly before, and the prompt parts on which it had not
 *     written a response yet
 * @param begun those of {@code running} for which the target had just begun to write the response
 * @param established the requests in {@code running} of which the target had written a part of the response
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
     * Creates a report without the progress of responses.
     *
     * @param target the target's start
     * @param running the requests in progress
     */
    public CrashedTarget(InstanceId target, List<Fingerprint> running) {
        this(target, running, List.of(), List.of(), List.of());
    }
}
