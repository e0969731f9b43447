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

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.entry.claim.ClaimMessage.GrantReply;

/**
 * In-memory store of the claims that this entry holds as a replica.
 *
 * <p>A key is retained for {@link #KEY_RETENTION_MILLIS} and never evicted earlier: a full store rejects new keys.
 * Answers are evicted oldest first once they exceed the memory limit. This class is thread-safe.
 */
public final class ClaimStore {

    /** How long a key is retained, in milliseconds. */
    public static final long KEY_RETENTION_MILLIS = 3_600_000;

    private static final int MAX_KEYS = 200_000;
    private static final long MAX_ANSWER_BYTES = 8L * 1024 * 1024;
    private static final int PAGE_SIZE = 2_000;
    private static final long CLOCK_SKEW_MILLIS = 5_000;

    private final Ticker ticker;
    private final TreeMap<String, TimedClaim> records = new TreeMap<>();
    private final Map<String, Integer> answerSizes = new LinkedHashMap<>();
    private final long wallClockAtStart;
    private final long startedAt;
    private long answerBytes;
    private long lastExpiryAt;
    private boolean historyComplete;

    /**
     * Creates an empty store without the claims of earlier runs of this process.
     *
     * @param ticker the monotonic clock
     * @param wallClock the current time, in milliseconds since the epoch
     */
    public ClaimStore(Ticker ticker, long wallClock) {
        this.ticker = ticker;
        this.startedAt = ticker.millis();
        this.wallClockAtStart = wallClock;
    }

    /**
     * Handles a request for a grant of a key; a granted key is recorded.
     *
     * @param ask the request
     * @return the result
     */
    public synchronized GrantReply requestGrant(ClaimMessage.GrantRequest ask) {
        removeExpired();
        TimedClaim existing = records.get(ask.key());
        if (existing != null && !existing.record.claim().equals(ask.claim())) {
            return new GrantReply(GrantReply.Kind.KNOWN, existing.record.withAge(ageMillis(existing)));
        }
        if (existing == null && records.size() >= MAX_KEYS) {
            return new GrantReply(GrantReply.Kind.FULL, null);
        }
        if (existing == null) {
            ClaimRecord created =
                    new ClaimRecord(ask.key(), ask.claim(), ask.bodyHash(), ask.owner(), 0, false, null, null);
            records.put(ask.key(), new TimedClaim(created, ticker.millis()));
        }
        return new GrantReply(
                hasCompleteHistory(ask.mintedAt()) ? GrantReply.Kind.GRANTED : GrantReply.Kind.GRANTED_UNSURE, null);
    }

    /**
     * Completes a claim.
     *
     * @param settle the claim and its outcome
     * @return whether the claim was found
     */
    public synchronized boolean complete(ClaimMessage.CompletionRequest settle) {
        TimedClaim existing = records.get(settle.key());
        if (existing == null || !existing.record.claim().equals(settle.claim())) {
            return false;
        }
        if (settle.verdict() == Verdict.NOT_RUN) {
            records.remove(settle.key());
            return true;
        }
        records.put(
                settle.key(),
                new TimedClaim(existing.record.withOutcome(settle.verdict(), settle.answer()), existing.claimedAt));
        retainAnswer(settle.key(), settle.answer());
        return true;
    }

    /**
     * Returns one page of all claims, without their answers.
     *
     * @param afterKey the last key of the previous page; empty for the first page
     * @param boot the boot id of this entry
     * @return the page
     */
    public synchronized ClaimMessage.SyncPage page(String afterKey, String boot) {
        List<ClaimRecord> out = new ArrayList<>();
        for (TimedClaim k : records.tailMap(afterKey, false).values()) {
            if (out.size() == PAGE_SIZE) {
                return new ClaimMessage.SyncPage(out, false, historyComplete, boot);
            }
            out.add(k.record.withoutAnswer().withAge(ageMillis(k)));
        }
        return new ClaimMessage.SyncPage(out, true, historyComplete, boot);
    }

    /**
     * Adds claims copied from another entry; existing claims are not overwritten.
     *
     * @param copied the claims
     */
    public synchronized void merge(List<ClaimRecord> copied) {
        for (ClaimRecord r : copied) {
            records.putIfAbsent(r.key(), new TimedClaim(r, ticker.millis() - r.ageMillis()));
        }
    }

    /** Marks the history as complete, so that every grant of a new key is certain. */
    public synchronized void markHistoryComplete() {
        historyComplete = true;
    }

    /**
     * Returns whether the history of claims is complete.
     *
     * @return true if the store has every claim that this entry granted within the retention time
     */
    public synchronized boolean hasCompleteHistory() {
        return historyComplete || ticker.millis() - startedAt > KEY_RETENTION_MILLIS;
    }

    /**
     * Returns the number of keys.
     *
     * @return the number of keys
     */
    public synchronized int size() {
        return records.size();
    }

    /**
     * Returns the total size of the stored answers.
     *
     * @return the size in bytes
     */
    public synchronized long answerBytes() {
        return answerBytes;
    }

    /** A key issued after this entry started cannot have been claimed in an earlier run. */
    private boolean hasCompleteHistory(long mintedAt) {
        return hasCompleteHistory() || mintedAt > wallClockAtStart + CLOCK_SKEW_MILLIS;
    }

    private long ageMillis(TimedClaim k) {
        return ticker.millis() - k.claimedAt;
    }

    private void retainAnswer(String key, StoredAnswer answer) {
        if (answer == null) {
            return;
        }
        answerSizes.put(key, answer.body().length);
        answerBytes += answer.body().length;
        while (answerBytes > MAX_ANSWER_BYTES) {
            String oldest = answerSizes.keySet().iterator().next();
            answerBytes -= answerSizes.remove(oldest);
            TimedClaim k = records.get(oldest);
            if (k != null) {
                records.put(oldest, new TimedClaim(k.record.withoutAnswer(), k.claimedAt));
            }
        }
    }

    /** Runs on every request, so it scans at most once per sixtieth of the retention time. */
    private void removeExpired() {
        long now = ticker.millis();
        if (now - lastExpiryAt < KEY_RETENTION_MILLIS / 60) {
            return;
        }
        lastExpiryAt = now;
        records.values().removeIf(k -> now - k.claimedAt > KEY_RETENTION_MILLIS);
        answerSizes.keySet().removeIf(k -> !records.containsKey(k) && releaseAnswerBytes(k));
    }

    private boolean releaseAnswerBytes(String key) {
        answerBytes -= answerSizes.get(key);
        return true;
    }

    /** A record with the time its key was claimed, by the monotonic clock. */
    private record TimedClaim(ClaimRecord record, long claimedAt) {}
}
