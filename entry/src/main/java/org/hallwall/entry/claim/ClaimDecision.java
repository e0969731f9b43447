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
package org.hallwall.entry.claim;

import org.hallwall.core.id.InstanceId;

/** What becomes of a request with a key. */
public sealed interface ClaimDecision {

    /**
     * The key is claimed; the request is to be run here.
     *
     * @param claim the id of the claim
     */
    record Owned(String claim) implements ClaimDecision {}

    /**
     * The request has ended, and its answer is kept.
     *
     * @param answer the answer
     */
    record Stored(StoredAnswer answer) implements ClaimDecision {}

    /**
     * Another entry runs the request.
     *
     * @param owner the entry
     */
    record Elsewhere(InstanceId owner) implements ClaimDecision {}
}
