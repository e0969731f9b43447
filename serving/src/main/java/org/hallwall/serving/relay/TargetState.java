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

import java.net.SocketAddress;
import java.util.Deque;
import java.util.concurrent.ConcurrentLinkedDeque;

/** Load and failure statistics of one target, as observed by this entry. Confined to the I/O thread, except for what metrics read. */
final class TargetState {

    /** Ejection time after the first failure, in milliseconds; doubles with each consecutive failure. */
    private static final long EJECTION_MILLIS = 400;

    private static final long MAX_EJECTION_MILLIS = 3_000;

    /**
     * How long a target whose address has been reused by another one gets no requests, in milliseconds, unless it sends
     * a new announcement. Bounded, since a corrupted response looks the same.
     */
    private static final long DISPLACED_MILLIS = 30_000;

    /** Weight of the latest gap in the exponential moving average. */
    private static final double GAP_WEIGHT = 0.1;

    /**
     * Mean deviations above the mean at which a gap counts as late; passes that process long prompts take several gaps.
     */
    private static final double LATE_DEVIATIONS = 4;

    /** How long a silent target is assumed to hold requests that were cancelled, in milliseconds. */
    private static final long HELD_MILLIS = 3_000;

    private final Deque<UnreadAttempt> unread = new ConcurrentLinkedDeque<>();
    private int outstanding;
    private int held;
    private long heldUntil;
    private int consecutiveFailures;
    private long ejectedUntil;
    private boolean ejectedForStall;
    private long displacedAnnouncement = -1;
    private long displacedUntil;
    private long lastProgressAt;
    private double meanGap;
    private double gapDeviation;

    void requestStarted() {
        outstanding++;
    }

    void requestEnded() {
        outstanding--;
    }

    int outstanding() {
        return outstanding;
    }

    /** Records that an attempt was abandoned, which the target may read later. */
    void addUnread(ArrivalTracker.Arrival arrival, AttemptConnection connection) {
        UnreadAttempt attempt = new UnreadAttempt(arrival, connection);
        unread.add(attempt);
        connection.whenClosed(() -> {
            unread.remove(attempt);
            arrival.confirm();
        });
    }

    /** Returns whether attempts were abandoned that the target may read later. */
    boolean hasUnread() {
        return !unread.isEmpty();
    }

    /** Returns the abandoned attempts that the target may read later. */
    UnreadAttempts unreadAttempts(long now) {
        UnreadAttempt oldest = unread.peek();
        return oldest == null
                ? UnreadAttempts.NONE
                : new UnreadAttempts(unread.size(), now - oldest.arrival().sentAt());
    }

    /** Returns the address to which the oldest abandoned attempt was sent; null if there is none. */
    SocketAddress unreadPeer() {
        UnreadAttempt oldest = unread.peek();
        return oldest == null ? null : oldest.connection().peer();
    }

    /** Records that the target has ended. Whether it has read an abandoned attempt before is unknown, so that it counts as arrived. */
    void abortUnread() {
        unread.forEach(a -> a.connection().abort());
    }

    /**
     * An abandoned attempt. It counts as arrived when its connection has closed.
     *
     * @param arrival its arrival
     * @param connection its connection, which stays open until the target has read the attempt
     */
    private record UnreadAttempt(ArrivalTracker.Arrival arrival, AttemptConnection connection) {}

    void recordProgress(long now) {
        lastProgressAt = now;
        held = 0;
    }

    /** Records that a request was cancelled because another target has responded first. */
    void recordSuperseded(long now) {
        held = held(now) + 1;
        heldUntil = now + HELD_MILLIS;
    }

    /** Returns the cancelled requests that occupy a slot until the target continues. */
    int held(long now) {
        return now < heldUntil ? held : 0;
    }

    long lastProgressAt() {
        return lastProgressAt;
    }

    /** Records the time between two events of a stream. */
    void recordGap(long millis) {
        gapDeviation += (Math.abs(millis - meanGap) - gapDeviation) * GAP_WEIGHT;
        meanGap += (millis - meanGap) * GAP_WEIGHT;
    }

    /** Returns the silence after which the target counts as late, computed like a TCP retransmission timeout. */
    double lateThresholdMillis() {
        return meanGap + LATE_DEVIATIONS * gapDeviation;
    }

    double meanGapMillis() {
        return meanGap;
    }

    void recordSuccess() {
        consecutiveFailures = 0;
    }

    void recordFailure(long now) {
        eject(now);
        ejectedForStall = false;
    }

    /** Records that requests of the target have stalled. It may be pausing, and is still selected if all others are full. */
    void recordStall(long now) {
        boolean failed = isEjected(now) && !ejectedForStall;
        eject(now);
        ejectedForStall = !failed;
    }

    private void eject(long now) {
        long ejectionMillis = Math.min(MAX_EJECTION_MILLIS, EJECTION_MILLIS << Math.min(consecutiveFailures, 8));
        consecutiveFailures++;
        ejectedUntil = now + ejectionMillis;
    }

    /** Records that another target responded at the address of this one. */
    void markDisplaced(ServingTarget target, long now) {
        displacedAnnouncement = target.announcementSequence();
        displacedUntil = now + DISPLACED_MILLIS;
    }

    /** Returns whether another target responds at the announced address. */
    boolean isDisplaced(ServingTarget target, long now) {
        return target.announcementSequence() <= displacedAnnouncement && now < displacedUntil;
    }

    boolean isEjected(long now) {
        return now < ejectedUntil;
    }

    /** Returns whether the target is ejected because its requests have stalled, and has not failed otherwise. */
    boolean isEjectedForStall(long now) {
        return isEjected(now) && ejectedForStall;
    }
}
