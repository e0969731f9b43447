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
import org.hallwall.wire.PeerMessage;
import org.hallwall.wire.PeerMessageTypes;

/** A message of the claim protocol between two entries. */
public sealed interface ClaimMessage extends PeerMessage {

    /**
     * Registers the message types of the claim protocol.
     *
     * @param messageTypes the registry
     */
    static void register(PeerMessageTypes messageTypes) {
        messageTypes
                .register(40, GrantRequest.class)
                .register(41, GrantReply.class)
                .register(42, CompletionRequest.class)
                .register(43, CompletionReply.class)
                .register(44, SyncRequest.class)
                .register(45, SyncPage.class);
    }

    /**
     * Requests a grant of a key.
     *
     * @param key the hash of the key
     * @param mintedAt when the key was issued; zero if the caller chose it
     * @param claim the id of the claim
     * @param bodyHash the hash of the request
     * @param owner the entry that requests the grant
     */
    record GrantRequest(String key, long mintedAt, String claim, String bodyHash, InstanceId owner)
            implements ClaimMessage {}

    /**
     * Replies to {@link GrantRequest}.
     *
     * @param kind the result
     * @param known the existing claim; null unless the kind is {@code KNOWN}
     */
    record GrantReply(Kind kind, ClaimRecord known) implements ClaimMessage {

        /** The result of requesting a grant. */
        public enum Kind {
            /** The key is granted, and no earlier claim can exist. */
            GRANTED,
            /** The key is granted, but an earlier claim may have been lost in a restart of the replica. */
            GRANTED_UNSURE,
            /** The key is already claimed. */
            KNOWN,
            /** The store has reached its maximum number of keys. */
            FULL
        }
    }

    /**
     * Completes a claim.
     *
     * @param key the hash of the key
     * @param claim the id of the claim
     * @param verdict the outcome of the request; {@code NOT_RUN} releases the key
     * @param answer the complete answer; null if there is none
     */
    record CompletionRequest(String key, String claim, Verdict verdict, StoredAnswer answer) implements ClaimMessage {}

    /**
     * Replies to {@link CompletionRequest}.
     *
     * @param known whether the claim was found
     */
    record CompletionReply(boolean known) implements ClaimMessage {}

    /**
     * Requests one page of all claims.
     *
     * @param afterKey the last key of the previous page; empty for the first page
     * @param boot the boot id of the requesting entry
     */
    record SyncRequest(String afterKey, String boot) implements ClaimMessage {}

    /**
     * Replies to {@link SyncRequest} with one page of claims.
     *
     * @param records the claims, ordered by key
     * @param last whether this is the last page
     * @param sure whether the replying entry has a complete history of its claims
     * @param boot the boot id of the replying entry
     */
    record SyncPage(List<ClaimRecord> records, boolean last, boolean sure, String boot) implements ClaimMessage {}
}
