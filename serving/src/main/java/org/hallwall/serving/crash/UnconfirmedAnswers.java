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

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.hallwall.core.id.InstanceId;

/**
 * Answers of targets that may still crash on them. An answer shows that a target survives a request or prompt part only if the target goes
 * on running for a while; if it ends before, the answer is evidence of the opposite. Not thread-safe.
 */
final class UnconfirmedAnswers {

    /**
     * How long a target must go on running after an answer, in milliseconds. A target writes several events at once and may crash some
     * steps later; a crash is noticed within milliseconds, since it closes the connections.
     */
    static final long CONFIRMATION_MILLIS = 500;

    /** The time before a crash within which an answer is evidence against what was answered, in milliseconds. */
    private static final long ACCUSATION_MILLIS = 150;

    /** After this time an unconfirmed answer exempts what it answers from suspicion, unless the target shows a sign of a crash. */
    private static final long TENTATIVE_MILLIS = 100;

    /** How long the fate of a target may stay unknown until its answers are dropped, in milliseconds. */
    private static final long MAX_DOUBT_MILLIS = 10_000;

    /** Bounds the memory; further answers are not recorded. */
    private static final int MAX_FINGERPRINTS = 16_384;

    private final Deque<Answer> answers = new ArrayDeque<>();
    private final Map<InstanceId, Long> doubtfulSince = new HashMap<>();
    private int count;

    /** Adds an answer; answers are added in the order of time. */
    void add(Answer answer) {
        if (count < MAX_FINGERPRINTS) {
            answers.addLast(answer);
            count += answer.answered().size();
        }
    }

    boolean contains(InstanceId target) {
        return answers.stream().anyMatch(a -> a.target().equals(target));
    }

    Set<InstanceId> targets() {
        Set<InstanceId> out = new HashSet<>();
        answers.forEach(a -> out.add(a.target()));
        return out;
    }

    /** Records that a target has broken off a response or closed a connection early; its latest answers do not count any more. */
    void doubt(InstanceId target, long now) {
        doubtfulSince.put(target, now);
    }

    /** Removes the answers that their targets have outlived, and drops those of targets whose fate stays unknown. */
    List<Answer> removeConfirmed(long now) {
        doubtfulSince.values().removeIf(since -> now - since > MAX_DOUBT_MILLIS + CONFIRMATION_MILLIS);
        List<Answer> confirmed = new ArrayList<>();
        Iterator<Answer> i = answers.iterator();
        while (i.hasNext()) {
            Answer a = i.next();
            if (now - a.at() < CONFIRMATION_MILLIS) {
                break;
            }
            boolean doubtful = isDoubtful(a);
            if (doubtful && now - a.at() < MAX_DOUBT_MILLIS) {
                continue;
            }
            i.remove();
            count -= a.answered().size();
            if (!doubtful) {
                confirmed.add(a);
            }
        }
        return confirmed;
    }

    private boolean isDoubtful(Answer a) {
        Long since = doubtfulSince.get(a.target());
        return since != null && a.at() <= since && since - a.at() <= CONFIRMATION_MILLIS;
    }

    /** Returns what targets have answered and outlived for a while, though not long enough to confirm it. */
    Set<Fingerprint> answeredTentatively(long now) {
        Set<Fingerprint> out = new HashSet<>();
        for (Answer a : answers) {
            if (now - a.at() >= TENTATIVE_MILLIS && !isDoubtful(a)) {
                out.addAll(a.answered());
            }
        }
        return out;
    }

    /** Returns what other targets have answered that show no sign of a crash yet. */
    Set<Fingerprint> answeredElsewhere(InstanceId target) {
        Set<Fingerprint> out = new HashSet<>();
        for (Answer a : answers) {
            if (!a.target().equals(target) && !isDoubtful(a)) {
                out.addAll(a.answered());
            }
        }
        return out;
    }

    /**
     * Removes the answers of a target that has crashed; returns those just before the crash, or before the first sign of it.
     *
     * @param target the target's start
     * @param now the current time in milliseconds
     */
    List<Answer> removeTarget(InstanceId target, long now) {
        Long doubtedAt = doubtfulSince.remove(target);
        List<Answer> last = new ArrayList<>();
        Iterator<Answer> i = answers.iterator();
        while (i.hasNext()) {
            Answer a = i.next();
            if (a.target().equals(target)) {
                i.remove();
                count -= a.answered().size();
                if (a.isJustBefore(now) || doubtedAt != null && a.isJustBefore(doubtedAt)) {
                    last.add(a);
                }
            }
        }
        return last;
    }

    /**
     * An answer of a target.
     *
     * @param start when the target began to write it
     * @param answered the request, or the prompt parts
     * @param at when the answer was established or had ended, in milliseconds
     */
    record Answer(ResponseStart start, List<Fingerprint> answered, long at) {

        InstanceId target() {
            return start.target();
        }

        private boolean isJustBefore(long time) {
            return at <= time && time - at <= ACCUSATION_MILLIS;
        }
    }
}
