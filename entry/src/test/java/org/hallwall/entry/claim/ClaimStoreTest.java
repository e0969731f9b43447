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
import java.util.concurrent.atomic.AtomicLong;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.entry.claim.ClaimMessage.GrantReply.Kind;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ClaimStoreTest {

    private static final long WALL = 1_000_000;
    private static final InstanceId OWNER = new InstanceId("e1");

    private final AtomicLong now = new AtomicLong();
    private ClaimStore store;

    @BeforeEach
    void create() {
        store = new ClaimStore(now::get, WALL);
        store.markHistoryComplete();
    }

    @Test
    void grantsKeyToOneClaimOnly() {
        assertEquals(Kind.GRANTED, requestGrant("k", "c1"));
        assertEquals(Kind.GRANTED, requestGrant("k", "c1"), "a repeated request of the same claim is granted");
        assertEquals(Kind.KNOWN, requestGrant("k", "c2"));
    }

    @Test
    void grantsOnlyKeysIssuedAfterStartWithoutHistory() {
        ClaimStore fresh = new ClaimStore(now::get, WALL);
        assertEquals(
                Kind.GRANTED_UNSURE,
                fresh.requestGrant(grantRequest("k", "c", 0)).kind());
        assertEquals(
                Kind.GRANTED_UNSURE,
                fresh.requestGrant(grantRequest("k2", "c", WALL - 1)).kind());
        assertEquals(
                Kind.GRANTED,
                fresh.requestGrant(grantRequest("k3", "c", WALL + 60_000)).kind());
        now.addAndGet(ClaimStore.KEY_RETENTION_MILLIS + 1);
        assertTrue(fresh.hasCompleteHistory(), "the history is complete after the retention time");
    }

    @Test
    void releasesKeyOnlyIfRequestDidNotRun() {
        requestGrant("k1", "c1");
        requestGrant("k2", "c1");
        store.complete(new ClaimMessage.CompletionRequest("k1", "c1", Verdict.NOT_RUN, null));
        store.complete(new ClaimMessage.CompletionRequest("k2", "c1", Verdict.MAY_HAVE_RUN, null));
        assertEquals(Kind.GRANTED, requestGrant("k1", "c2"));
        assertEquals(Kind.KNOWN, requestGrant("k2", "c2"));
    }

    @Test
    void ignoresCompletionOfAnotherClaim() {
        requestGrant("k", "c1");
        assertFalse(store.complete(new ClaimMessage.CompletionRequest("k", "c2", Verdict.NOT_RUN, null)));
        assertEquals(Kind.KNOWN, requestGrant("k", "c2"));
    }

    @Test
    void evictsOldAnswersButNoKeys() {
        for (int i = 0; i < 20; i++) {
            requestGrant("k" + i, "c");
            StoredAnswer answer = new StoredAnswer(200, null, new byte[1024 * 1024], null, null);
            store.complete(new ClaimMessage.CompletionRequest("k" + i, "c", Verdict.RAN, answer));
        }
        assertEquals(20, store.size());
        assertTrue(store.answerBytes() <= 8L * 1024 * 1024);
        assertNull(store.requestGrant(grantRequest("k0", "other", 0)).known().answer());
        assertEquals(
                1024 * 1024,
                store.requestGrant(grantRequest("k19", "other", 0))
                        .known()
                        .answer()
                        .body()
                        .length);
    }

    @Test
    void copiesClaimsInPages() {
        for (int i = 0; i < 4_500; i++) {
            requestGrant("k" + (10_000 + i), "c");
        }
        ClaimStore copy = new ClaimStore(now::get, WALL);
        String after = "";
        boolean last = false;
        int pages = 0;
        while (!last) {
            ClaimMessage.SyncPage page = store.page(after, "boot");
            List<ClaimRecord> records = page.records();
            copy.merge(records);
            after = records.isEmpty() ? after : records.get(records.size() - 1).key();
            last = page.last();
            pages++;
        }
        assertEquals(4_500, copy.size());
        assertEquals(3, pages);
    }

    @Test
    void removesKeysAfterRetentionTime() {
        requestGrant("k", "c1");
        now.addAndGet(ClaimStore.KEY_RETENTION_MILLIS + 60_000);
        assertEquals(Kind.GRANTED, requestGrant("k", "c2"));
    }

    private Kind requestGrant(String key, String claim) {
        return store.requestGrant(grantRequest(key, claim, 0)).kind();
    }

    private static ClaimMessage.GrantRequest grantRequest(String key, String claim, long mintedAt) {
        return new ClaimMessage.GrantRequest(key, mintedAt, claim, "body", OWNER);
    }
}
