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

import java.util.List;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.wire.PeerKinds;
import org.hallwall.wire.PeerMessage;

/** A message between two entries about claims. */
public sealed interface ClaimMessage extends PeerMessage {

    /**
     * Registers the kinds of message.
     *
     * @param kinds where to register them
     */
    static void register(PeerKinds kinds) {
        kinds.add(40, Ask.class)
                .add(41, Answer.class)
                .add(42, Settle.class)
                .add(43, Done.class)
                .add(44, Sync.class)
                .add(45, SyncPage.class);
    }

    /**
     * Asks for a key.
     *
     * @param key the hash of the key
     * @param mintedAt when the key was made; zero if the caller made it
     * @param claim the id of the claim
     * @param bodyHash the hash of the request
     * @param owner who asks
     */
    record Ask(String key, long mintedAt, String claim, String bodyHash, InstanceId owner) implements ClaimMessage {}

    /**
     * Answers the question for a key.
     *
     * @param kind the answer
     * @param known what is known, if the key is claimed already; null otherwise
     */
    record Answer(Kind kind, ClaimRecord known) implements ClaimMessage {

        /** The answers. */
        public enum Kind {
            /** The key is granted, and it was not claimed before. */
            GRANTED,
            /** The key is granted, but claims from before may have been forgotten here. */
            GRANTED_UNSURE,
            /** The key is claimed already. */
            KNOWN,
            /** No room for another key. */
            FULL
        }
    }

    /**
     * Ends a claim.
     *
     * @param key the hash of the key
     * @param claim the id of the claim
     * @param verdict how the request ended; if it did not run, the key is free again
     * @param answer the whole answer; null if there is none
     */
    record Settle(String key, String claim, Verdict verdict, StoredAnswer answer) implements ClaimMessage {}

    /**
     * Confirms the end of a claim.
     *
     * @param known whether the claim was known
     */
    record Done(boolean known) implements ClaimMessage {}

    /**
     * Asks for all claims, page by page.
     *
     * @param afterKey the last key of the page before; empty for the first page
     * @param boot the asker's boot
     */
    record Sync(String afterKey, String boot) implements ClaimMessage {}

    /**
     * One page of claims.
     *
     * @param records the claims in order of their keys
     * @param last whether this is the last page
     * @param sure whether the answerer has forgotten nothing
     * @param boot the answerer's boot
     */
    record SyncPage(List<ClaimRecord> records, boolean last, boolean sure, String boot) implements ClaimMessage {}
}
