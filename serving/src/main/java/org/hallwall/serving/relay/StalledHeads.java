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
package org.hallwall.serving.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import org.hallwall.core.time.Ticker;
import org.hallwall.serving.target.FeedMessage.StalledHead;
import org.hallwall.serving.target.GroupLiveness;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/**
 * Tells heads whose group has lost a member from heads that work long on what they were given. Both look alike to an entry, but
 * a stream that leaves a working head costs its prompt a second time. Used on the I/O thread only.
 */
public final class StalledHeads {

    private static final Logger LOG = Logger.getLogger(StalledHeads.class);
    /**
     * How long the controller's answer is awaited, in milliseconds: three hops, two new connections, and the
     * scheduling of a control instance that has less than half a core.
     */
    private static final long ANSWER_MILLIS = 60;
    /** How many patiences a stream stays with a head that works: to one and a half of the longest pause. */
    private static final double WORKING_PATIENCES = 4.5;
    /** How many patiences a stream stays with a head that nobody can be asked about. */
    private static final double UNKNOWN_PATIENCES = 2;
    /** How many patiences a head that has just been found working is silent before it is asked about again. */
    private static final double AGAIN_PATIENCES = 1.6;
    /** For how long a head counts as just found working, in milliseconds. */
    private static final long JUST_MILLIS = 1_000;
    /** The shortest time between two reports of a group that nobody waits for, in milliseconds. */
    private static final long REPORT_MILLIS = 300;
    /** How long a question is remembered, in milliseconds; longer than any silence. */
    private static final long FORGET_MILLIS = 10_000;

    private final Function<StalledHead, Mono<GroupLiveness>> controller;
    private final BooleanSupplier inTouch;
    private final Ticker ticker;
    private final Map<String, Question> questions = new HashMap<>();

    /**
     * Creates it.
     *
     * @param controller asks the group controller; never an error
     * @param inTouch whether the group controller has answered anything lately
     * @param ticker the clock
     */
    public StalledHeads(Function<StalledHead, Mono<GroupLiveness>> controller, BooleanSupplier inTouch, Ticker ticker) {
        this.controller = controller;
        this.inTouch = inTouch;
        this.ticker = ticker;
    }

    /**
     * Says whether a stream should leave a silent head; the first call of a silence asks the controller.
     *
     * @param head the head
     * @param silentSince when it was last heard
     * @param patienceMillis the silence after which the controller is asked
     * @return true if it lost a member, or if it is silent for long and nobody knows why
     */
    boolean shouldLeave(StalledHead head, long silentSince, long patienceMillis) {
        long now = ticker.millis();
        long silence = now - silentSince;
        Question q = questions.get(head.group());
        if (q == null || q.askedAt <= silentSince) {
            boolean justWorked = q != null && q.answer == GroupLiveness.WORKING && now - q.askedAt < JUST_MILLIS;
            if (silence > patienceMillis * (justWorked ? AGAIN_PATIENCES : 1)) {
                ask(head, now);
            }
            return false;
        }
        switch (q.answer) {
            case WORKING:
                return silence > patienceMillis * WORKING_PATIENCES;
            case LOST:
                return true;
            default:
                boolean overdue = !q.answered && inTouch.getAsBoolean() && now - q.askedAt >= ANSWER_MILLIS;
                return overdue || silence > patienceMillis * UNKNOWN_PATIENCES;
        }
    }

    /**
     * Reports a head that cannot be reached, and awaits no answer.
     *
     * @param head the head
     */
    void report(StalledHead head) {
        long now = ticker.millis();
        Question q = questions.get(head.group());
        if (q == null || now - q.askedAt >= REPORT_MILLIS) {
            ask(head, now);
        }
    }

    private void ask(StalledHead head, long now) {
        questions.values().removeIf(q -> now - q.askedAt > FORGET_MILLIS);
        Question q = new Question(now);
        questions.put(head.group(), q);
        controller.apply(head).defaultIfEmpty(GroupLiveness.UNKNOWN).subscribe(answer -> {
            LOG.infof(
                    "head %s of %s stands still, the controller says %s after %d ms",
                    head.head(), head.group(), answer, ticker.millis() - now);
            q.answer = answer;
            q.answered = true;
        });
    }

    /** A question to the controller; the answer comes on another thread. */
    private static final class Question {

        private final long askedAt;
        private volatile GroupLiveness answer = GroupLiveness.UNKNOWN;
        private volatile boolean answered;

        Question(long askedAt) {
            this.askedAt = askedAt;
        }
    }
}
