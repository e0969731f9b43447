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
package org.hallwall.serving.permit;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** The declared limits of and the arrivals at a simulated target, compared over sliding windows. */
final class LimitWindows {

    static final long WINDOW_MILLIS = 4_000;
    /** How long the entries may take to adapt to a changed limit. */
    static final long CONVERGENCE_MILLIS = 3_000;

    static final long IN_FLIGHT_MILLIS = 500;
    private static final double ALLOWED_RATIO = 1.5;
    private static final int ALLOWANCE = 5;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The declared limits by start time; negative for none. */
    private final TreeMap<Long, Double> limits = new TreeMap<>();

    private final List<Long> counted = new ArrayList<>();
    private final List<Long> all = new ArrayList<>();

    LimitWindows() {
        limits.put(Long.MIN_VALUE, -1.0);
    }

    void setLimit(double perSecond, long now) {
        limits.put(now, perSecond);
    }

    double limitAt(long now) {
        return limits.floorEntry(now).getValue();
    }

    /** Records an arrival; it does not count if its entry is recovering from a fault or does not know the limit yet. */
    void recordArrival(long now, boolean counts) {
        all.add(now);
        if (counts) {
            counted.add(now);
        }
    }

    int arrivals(long from, long to) {
        return (int) all.stream().filter(t -> t >= from && t < to).count();
    }

    /** Returns the highest ratio of arrivals to allowed requests in any window; zero if there are none. */
    double maxRatio(boolean countedOnly) {
        List<Long> arrivals = countedOnly ? counted : all;
        double maxRatio = 0;
        int end = 0;
        for (int first = 0; first < arrivals.size(); first++) {
            while (end < arrivals.size() && arrivals.get(end) - arrivals.get(first) < WINDOW_MILLIS) {
                end++;
            }
            double allowed = allowed(arrivals.get(first), arrivals.get(end - 1));
            maxRatio = Math.max(maxRatio, (end - first) / allowed);
        }
        return maxRatio;
    }

    /** Returns the most arrivals in any window between two times. */
    int maxArrivals(long from, long to) {
        int maxArrivals = 0;
        int first = 0;
        for (int last = 0; last < all.size(); last++) {
            while (all.get(last) - all.get(first) >= WINDOW_MILLIS || all.get(first) < from) {
                if (first == last) {
                    break;
                }
                first++;
            }
            if (all.get(first) >= from && all.get(last) < to) {
                maxArrivals = Math.max(maxArrivals, last - first + 1);
            }
        }
        return maxArrivals;
    }

    /** Returns the allowed requests by the highest limit in the window or shortly before, since entries learn limits with a delay. */
    private double allowed(long from, long to) {
        long start = from - CONVERGENCE_MILLIS;
        double highest = limitAt(start);
        boolean unlimited = highest < 0;
        for (double limit : limits.subMap(start, false, to, true).values()) {
            unlimited |= limit < 0;
            highest = Math.max(highest, limit);
        }
        return unlimited
                ? Double.POSITIVE_INFINITY
                : ALLOWED_RATIO * highest * WINDOW_MILLIS / MILLIS_PER_SECOND + ALLOWANCE;
    }
}
