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
import org.hallwall.domain.AnnouncedTarget;
import org.hallwall.domain.GroupView;
import org.hallwall.engine.TargetLoad;

/** Routing state of one group: its latest announced view, the load from this entry, and its health. */
public final class GroupRoutingState {

    private static final double SMOOTHING = 0.2;
    private static final double OVERCOMMIT_FACTOR = 1.25;
    private static final int MIN_SAMPLES = 5;

    private final GroupId group;
    private final AtomicInteger outstanding = new AtomicInteger();
    private volatile GroupView view;
    private volatile double firstTokenMillis;
    private volatile int firstTokenSamples;
    private volatile long cooldownUntil;
    private volatile boolean draining;
    private volatile boolean slow;
    private final Set<Assignment> assignments = ConcurrentHashMap.newKeySet();
    private int outstandingAtLastReport;

    /**
     * Creates the state of a group without outstanding requests.
     *
     * @param view the group as announced by its members
     */
    public GroupRoutingState(GroupView view) {
        this.group = view.group();
        this.view = view;
    }

    void update(GroupView newView, boolean isDraining) {
        AnnouncedTarget oldHead = view.head();
        AnnouncedTarget newHead = newView.head();
        if (oldHead == null || newHead == null || oldHead.announcedAt() != newHead.announcedAt()) {
            outstandingAtLastReport = outstanding.get();
        }
        view = newView;
        draining = isDraining;
    }

    /**
     * Returns the id of the group.
     *
     * @return the id
     */
    public GroupId group() {
        return group;
    }

    /**
     * Returns the group as last announced by its members.
     *
     * @return the view
     */
    public GroupView view() {
        return view;
    }

    /**
     * Returns the number of runs that this entry has in progress on the group.
     *
     * @return the number of runs
     */
    public int outstanding() {
        return outstanding.get();
    }

    /**
     * Estimates the load of the group: the outstanding runs of this entry plus those of other entries as last reported.
     *
     * @return the estimated number of running and queued runs
     */
    public int estimatedLoad() {
        TargetLoad load = reportedLoad();
        int others = Math.max(0, load.running() + load.queued() - outstandingAtLastReport);
        return outstanding.get() + others;
    }

    /**
     * Returns whether the group has capacity for another run.
     *
     * @return true if the estimated load is below the number of slots times the overcommit factor
     */
    public boolean hasCapacity() {
        return estimatedLoad() < Math.ceil(reportedLoad().slots() * OVERCOMMIT_FACTOR);
    }

    /**
     * Returns whether new runs may be assigned to the group.
     *
     * @param now the current time in milliseconds
     * @param lease how long an announcement is valid, in milliseconds
     * @return true if the group serves and is not in the cooldown after a failed run
     */
    public boolean isUsable(long now, long lease) {
        return isServing(now, lease) && now >= cooldownUntil;
    }

    /**
     * Returns whether the group serves, regardless of the cooldown after a failed run.
     *
     * @param now the current time in milliseconds
     * @param lease how long an announcement is valid, in milliseconds
     * @return true if it is complete, not draining and not leaving
     */
    public boolean isServing(long now, long lease) {
        GroupView v = view;
        return !draining && !v.leaving() && v.isComplete(now, lease) && v.head() != null && v.servesFullRequests();
    }

    /**
     * Returns whether the group is marked as an outlier in time to first token.
     *
     * @return true if it is marked as slow
     */
    public boolean isSlow() {
        return slow;
    }

    /**
     * Returns the smoothed time to the first token.
     *
     * @return the time in milliseconds; zero until there are enough samples
     */
    public double firstTokenMillis() {
        return firstTokenSamples < MIN_SAMPLES ? 0 : firstTokenMillis;
    }

    void markSlow(boolean isSlow) {
        slow = isSlow;
    }

    void addAssignment(Assignment a) {
        assignments.add(a);
    }

    void removeAssignment(Assignment a) {
        assignments.remove(a);
    }

    /** Signals to the runs in progress that the group is suspected or lost. */
    void notifyAssignments(long now, long suspectAfter, long lostAfter) {
        long silence = view.hasAllMembers() ? now - view.oldestAnnouncementAt() : Long.MAX_VALUE;
        for (Assignment a : assignments) {
            if (silence >= lostAfter) {
                a.notifyLost();
            } else if (silence >= suspectAfter) {
                a.notifySuspect();
            }
        }
    }

    void runStarted() {
        outstanding.incrementAndGet();
    }

    void runEnded() {
        outstanding.decrementAndGet();
    }

    void startCooldown(long until) {
        cooldownUntil = until;
    }

    void recordFirstToken(double millis) {
        int n = firstTokenSamples;
        firstTokenMillis = n == 0 ? millis : firstTokenMillis + SMOOTHING * (millis - firstTokenMillis);
        firstTokenSamples = n + 1;
    }

    private TargetLoad reportedLoad() {
        AnnouncedTarget head = view.head();
        return head == null ? TargetLoad.NONE : head.announcement().load();
    }
}
