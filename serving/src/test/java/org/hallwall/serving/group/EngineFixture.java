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
package org.hallwall.serving.group;

import java.util.List;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.serving.target.GroupMembership;
import org.hallwall.serving.target.TargetRecord;

/** Creates engines for the tests of the planners. */
final class EngineFixture {

    private static final int SLOTS = 18;

    private EngineFixture() {}

    /**
     * Creates a serving engine.
     *
     * @param id its instance ID
     * @param domain its fabric domain
     * @param model the model in the engine, or null
     * @param staged the model staged on its host, or null
     * @param membership its group, or null
     * @return the engine
     */
    static Engine engine(String id, String domain, String model, String staged, GroupMembership membership) {
        return engine(id, domain, model, staged, membership, TargetRecord.Presence.SERVING, false);
    }

    /**
     * Creates an engine.
     *
     * @param id its instance ID
     * @param domain its fabric domain
     * @param model the model in the engine, or null
     * @param staged the model staged on its host, or null
     * @param membership its group, or null
     * @param presence its announced presence
     * @param lost whether it is considered dead
     * @return the engine
     */
    static Engine engine(
            String id,
            String domain,
            String model,
            String staged,
            GroupMembership membership,
            TargetRecord.Presence presence,
            boolean lost) {
        TargetRecord r = new TargetRecord(
                new InstanceId(id),
                1,
                "llm",
                new NetAddress("10.0.0.1", 80),
                "a",
                SLOTS,
                presence,
                domain,
                model,
                staged == null ? List.of() : List.of(staged),
                membership);
        return new Engine(r, model, lost, false, VerificationState.VERIFIED);
    }
}
