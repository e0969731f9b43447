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
package org.hallwall.entry.routing;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.hallwall.core.id.GroupId;
import org.hallwall.domain.GroupView;
import org.hallwall.domain.KnownTarget;
import org.hallwall.engine.TargetLoad;

/** What this entry knows of one group that it may route to. */
public final class GroupSlot {

    private static final double SMOOTHING = 0.2;
    private static final double ROOM_FACTOR = 1.25;
    private static final int LEAST_SAMPLES = 5;

    private final GroupId group;
    private final AtomicInteger outstanding = new AtomicInteger();
    private volatile GroupView view;
    private volatile double firstTokenMillis;
    private volatile int samples;
    private volatile long failedUntil;
    private volatile boolean draining;
    private volatile boolean slow;
    private final Set<Assignment> assignments = ConcurrentHashMap.newKeySet();
    private int outstandingWhenHeard;

    /**
     * Creates the slot of a group.
     *
     * @param view the group
     */
    public GroupSlot(GroupView view) {
        this.group = view.group();
        this.view = view;
    }

    void update(GroupView fresh, boolean isDraining) {
        KnownTarget before = view.head();
        KnownTarget after = fresh.head();
        if (before == null || after == null || before.heardAt() != after.heardAt()) {
            outstandingWhenHeard = outstanding.get();
        }
        view = fresh;
        draining = isDraining;
    }

    /**
     * Gives the group.
     *
     * @return the group
     */
    public GroupId group() {
        return group;
    }

    /**
     * Gives the group as its members announce it.
     *
     * @return the group
     */
    public GroupView view() {
        return view;
    }

    /**
     * Counts the runs that this entry has in progress on the group.
     *
     * @return how many
     */
    public int outstanding() {
        return outstanding.get();
    }

    /**
     * Estimates the runs in progress on the group: this entry's own, and those of others as last reported.
     *
     * @return how many
     */
    public int estimatedLoad() {
        TargetLoad load = reported();
        int others = Math.max(0, load.running() + load.queued() - outstandingWhenHeard);
        return outstanding.get() + others;
    }

    /**
     * Says whether the group has room for one more run.
     *
     * @return true if its estimated load is below its slots and a small reserve
     */
    public boolean hasRoom() {
        return estimatedLoad() < Math.ceil(reported().slots() * ROOM_FACTOR);
    }

    /**
     * Says whether the group may be given a run.
     *
     * @param now the clock
     * @param lease how long an announcement counts
     * @return true if it is complete and neither draining, leaving nor just failed
     */
    public boolean isUsable(long now, long lease) {
        return isServing(now, lease) && now >= failedUntil;
    }

    /**
     * Says whether the group serves, even if a run on it has just failed.
     *
     * @param now the clock
     * @param lease how long an announcement counts
     * @return true if it is complete and neither draining nor leaving
     */
    public boolean isServing(long now, long lease) {
        GroupView v = view;
        return !draining && !v.leaving() && v.isComplete(now, lease) && v.head() != null && v.servesWhole();
    }

    /**
     * Says whether the group is much slower than the others.
     *
     * @return true if it is
     */
    public boolean isSlow() {
        return slow;
    }

    /**
     * Gives the smoothed time to the first token.
     *
     * @return milliseconds; zero before enough runs were seen
     */
    public double firstTokenMillis() {
        return samples < LEAST_SAMPLES ? 0 : firstTokenMillis;
    }

    void markSlow(boolean isSlow) {
        slow = isSlow;
    }

    void remember(Assignment a) {
        assignments.add(a);
    }

    void forget(Assignment a) {
        assignments.remove(a);
    }

    /** Tells the runs in progress that the group is silent for long, or that it is no more. */
    void tellRuns(long now, long suspectAfter, long lostAfter) {
        long silence = view.isIntact() ? now - view.heardAt() : Long.MAX_VALUE;
        for (Assignment a : assignments) {
            if (silence >= lostAfter) {
                a.notifyLost();
            } else if (silence >= suspectAfter) {
                a.notifySuspect();
            }
        }
    }

    void began() {
        outstanding.incrementAndGet();
    }

    void ended() {
        outstanding.decrementAndGet();
    }

    void failed(long until) {
        failedUntil = until;
    }

    void sawFirstToken(double millis) {
        int n = samples;
        firstTokenMillis = n == 0 ? millis : firstTokenMillis + SMOOTHING * (millis - firstTokenMillis);
        samples = n + 1;
    }

    private TargetLoad reported() {
        KnownTarget head = view.head();
        return head == null ? TargetLoad.NONE : head.announcement().load();
    }
}
