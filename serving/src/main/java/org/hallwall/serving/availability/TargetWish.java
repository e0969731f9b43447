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
package org.hallwall.serving.availability;

/** What one start of a target has asked this instance for; guarded by {@link TargetAvailability}. */
final class TargetWish {

    /** How long the first request after a rest may go without an answer until another one is sent, in milliseconds. */
    private static final long FIRST_MILLIS = 1_000;
    /** The pause after a first request that was turned away with no time given, in milliseconds. */
    private static final long AGAIN_MILLIS = 400;

    private boolean leaving;
    private long restUntil;
    private long openAt;
    /** Whether the next request goes alone, and nothing else until it has its answer. */
    private boolean firstAlone;

    private long nextFirstAt;

    void leaves() {
        leaving = true;
    }

    boolean isLeaving() {
        return leaving;
    }

    /** Takes a time of rest; a shorter one does not shorten a longer one. */
    void rests(long until, long spreadMillis) {
        if (until > restUntil) {
            restUntil = until;
            openAt = until + spreadMillis;
        }
        firstAlone = true;
        nextFirstAt = openAt;
    }

    boolean isResting(long now) {
        return now < restUntil;
    }

    /** Says whether a request may be sent now. */
    boolean wantsRequests(long now) {
        return !leaving && now >= openAt && (!firstAlone || now >= nextFirstAt);
    }

    /** Says how long until a request may be sent, in milliseconds; there is no such time for one that leaves. */
    long againMillis(long now) {
        return Math.max(0, (firstAlone ? Math.max(openAt, nextFirstAt) : openAt) - now);
    }

    /** Notes that a request is sent, and says whether it is the first one after a rest. */
    boolean begin(long now) {
        if (firstAlone) {
            nextFirstAt = now + FIRST_MILLIS;
        }
        return firstAlone;
    }

    /** Notes that the first request was taken: all others may follow, unless the target has asked for rest again meanwhile. */
    void firstTaken(long now) {
        firstAlone = now < openAt;
    }

    /** Notes that the first request was turned away. */
    void firstTurnedAway(long now) {
        nextFirstAt = Math.max(openAt, now + AGAIN_MILLIS);
    }

    /** Notes that the first request ended with no answer: another one may find out. */
    void firstDropped(long now) {
        nextFirstAt = Math.max(openAt, now);
    }

    /** Says whether nothing has to be remembered any more. */
    boolean isOver(long now) {
        return !leaving && !firstAlone && now >= openAt;
    }
}
