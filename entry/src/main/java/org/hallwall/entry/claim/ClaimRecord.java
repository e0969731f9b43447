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
import org.hallwall.core.verdict.Verdict;

/**
 * The state of a claimed key as stored on one entry.
 *
 * @param key the hash of the key
 * @param claim the id of the claim
 * @param bodyHash the hash of the request
 * @param owner the entry that claimed the key and runs the request
 * @param ageMillis the time since the key was claimed, in milliseconds
 * @param ended whether the request has ended
 * @param verdict the outcome of the request; null while it runs
 * @param answer the complete answer; null if there is none or if it was evicted
 */
public record ClaimRecord(
        String key,
        String claim,
        String bodyHash,
        InstanceId owner,
        long ageMillis,
        boolean ended,
        Verdict verdict,
        StoredAnswer answer) {

    ClaimRecord withOutcome(Verdict outcome, StoredAnswer completeAnswer) {
        return new ClaimRecord(key, claim, bodyHash, owner, ageMillis, true, outcome, completeAnswer);
    }

    ClaimRecord withoutAnswer() {
        return new ClaimRecord(key, claim, bodyHash, owner, ageMillis, ended, verdict, null);
    }

    ClaimRecord withAge(long age) {
        return new ClaimRecord(key, claim, bodyHash, owner, age, ended, verdict, answer);
    }
}
