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
import org.hallwall.entry.claim.ClaimMessage.Answer;

/**
 * The claims that this entry keeps, in memory only. Keys are kept for a stated time and never dropped earlier: when
 * there is no room, new keys are refused. Answers are dropped sooner, the oldest first. Safe for use by several threads.
 */
public final class ClaimStore {

    /** How long a key is remembered. */
    public static final long KEY_MILLIS = 3_600_000;

    private static final int MOST_KEYS = 200_000;
    private static final long MOST_ANSWER_BYTES = 8L * 1024 * 1024;
    private static final int PAGE = 2_000;
    private static final long SKEW_MILLIS = 5_000;

    private final Ticker ticker;
    private final TreeMap<String, Kept> records = new TreeMap<>();
    private final Map<String, Integer> answers = new LinkedHashMap<>();
    private final long startedAtWall;
    private final long startedAt;
    private long answerBytes;
    private long forgotAt;
    private boolean sure;

    /**
     * Creates an empty store that has forgotten all there was before.
     *
     * @param ticker the clock
     * @param wallClock the time, in milliseconds since 1970
     */
    public ClaimStore(Ticker ticker, long wallClock) {
        this.ticker = ticker;
        this.startedAt = ticker.millis();
        this.startedAtWall = wallClock;
    }

    /**
     * Answers the question for a key.
     *
     * @param ask the question
     * @return the answer; a grant is remembered
     */
    public synchronized Answer ask(ClaimMessage.Ask ask) {
        forgetOld();
        Kept known = records.get(ask.key());
        if (known != null && !known.record.claim().equals(ask.claim())) {
            return new Answer(Answer.Kind.KNOWN, known.record.aged(age(known)));
        }
        if (known == null && records.size() >= MOST_KEYS) {
            return new Answer(Answer.Kind.FULL, null);
        }
        if (known == null) {
            ClaimRecord fresh =
                    new ClaimRecord(ask.key(), ask.claim(), ask.bodyHash(), ask.owner(), 0, false, null, null);
            records.put(ask.key(), new Kept(fresh, ticker.millis()));
        }
        return new Answer(isSure(ask.mintedAt()) ? Answer.Kind.GRANTED : Answer.Kind.GRANTED_UNSURE, null);
    }

    /**
     * Ends a claim.
     *
     * @param settle how it ended
     * @return whether the claim was known
     */
    public synchronized boolean settle(ClaimMessage.Settle settle) {
        Kept known = records.get(settle.key());
        if (known == null || !known.record.claim().equals(settle.claim())) {
            return false;
        }
        if (settle.verdict() == Verdict.NOT_RUN) {
            records.remove(settle.key());
            return true;
        }
        records.put(settle.key(), new Kept(known.record.ended(settle.verdict(), settle.answer()), known.at));
        keepAnswer(settle.key(), settle.answer());
        return true;
    }

    /**
     * Gives one page of all claims.
     *
     * @param afterKey the last key of the page before; empty for the first page
     * @param boot this entry's boot
     * @return the page
     */
    public synchronized ClaimMessage.SyncPage page(String afterKey, String boot) {
        List<ClaimRecord> out = new ArrayList<>();
        for (Kept k : records.tailMap(afterKey, false).values()) {
            if (out.size() == PAGE) {
                return new ClaimMessage.SyncPage(out, false, sure, boot);
            }
            out.add(k.record.withoutAnswer().aged(age(k)));
        }
        return new ClaimMessage.SyncPage(out, true, sure, boot);
    }

    /**
     * Takes claims that another entry knows; what is known here stays.
     *
     * @param copied the claims
     */
    public synchronized void take(List<ClaimRecord> copied) {
        for (ClaimRecord r : copied) {
            records.putIfAbsent(r.key(), new Kept(r, ticker.millis() - r.ageMillis()));
        }
    }

    /** Notes that nothing that matters has been forgotten. */
    public synchronized void becomeSure() {
        sure = true;
    }

    /**
     * Says whether nothing that matters has been forgotten.
     *
     * @return true if every claim of the retention time is known that this entry has granted
     */
    public synchronized boolean isSure() {
        return sure || ticker.millis() - startedAt > KEY_MILLIS;
    }

    /**
     * Counts the keys.
     *
     * @return how many
     */
    public synchronized int size() {
        return records.size();
    }

    /**
     * Measures the answers kept.
     *
     * @return bytes
     */
    public synchronized long answerBytes() {
        return answerBytes;
    }

    /** A key made after this entry started cannot have been claimed before it. */
    private boolean isSure(long mintedAt) {
        return isSure() || mintedAt > startedAtWall + SKEW_MILLIS;
    }

    private long age(Kept k) {
        return ticker.millis() - k.at;
    }

    private void keepAnswer(String key, StoredAnswer answer) {
        if (answer == null) {
            return;
        }
        answers.put(key, answer.body().length);
        answerBytes += answer.body().length;
        while (answerBytes > MOST_ANSWER_BYTES) {
            String oldest = answers.keySet().iterator().next();
            answerBytes -= answers.remove(oldest);
            Kept k = records.get(oldest);
            if (k != null) {
                records.put(oldest, new Kept(k.record.withoutAnswer(), k.at));
            }
        }
    }

    /** Called often, so it looks only when there is something to find. */
    private void forgetOld() {
        long now = ticker.millis();
        if (now - forgotAt < KEY_MILLIS / 60) {
            return;
        }
        forgotAt = now;
        records.values().removeIf(k -> now - k.at > KEY_MILLIS);
        answers.keySet().removeIf(k -> !records.containsKey(k) && dropAnswer(k));
    }

    private boolean dropAnswer(String key) {
        answerBytes -= answers.get(key);
        return true;
    }

    /** A record and when its key was claimed, by this process's clock. */
    private record Kept(ClaimRecord record, long at) {}
}
