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
 * A request or prompt part that was running on crashed targets and that no target has answered since.
 *
 * @param digest the request or prompt part
 * @param targets the starts of the targets that crashed while running it
 * @param held whether it is held back
 * @param proven whether it is known that targets have answered it before the crashes
 */
public record Suspect(
        Fingerprint digest,
        List<InstanceId> targets,
        boolean held,
        @JsonInclude(JsonInclude.Include.NON_DEFAULT) boolean proven) {

    /**
     * Creates a suspect of which no earlier answer is known.
     *
     * @param digest the request or prompt part
     * @param targets the starts of the targets that crashed while running it
     * @param held whether it is held back
     */
    public Suspect(Fingerprint digest, List<InstanceId> targets, boolean held) {
        this(digest, targets, held, false);
    }
}
