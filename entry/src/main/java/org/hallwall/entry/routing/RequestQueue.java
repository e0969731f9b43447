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

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.hallwall.entry.exchange.RequestPriority;

/**
 * Requests that wait for one model group, by priority. While all priorities wait, each gets turns by its weight, so
 * that none is starved out. Not safe for use by several threads.
 */
final class RequestQueue {

    private final Map<RequestPriority, Deque<Waiter>> waiting = new EnumMap<>(RequestPriority.class);
    private final Map<RequestPriority, Integer> credit = new EnumMap<>(RequestPriority.class);

    RequestQueue() {
        for (RequestPriority p : RequestPriority.values()) {
            waiting.put(p, new ArrayDeque<>());
            credit.put(p, 0);
        }
    }

    void add(Waiter w) {
        waiting.get(w.exchange().headers().priority()).addLast(w);
    }

    int size() {
        int n = 0;
        for (Deque<Waiter> d : waiting.values()) {
            n += d.size();
        }
        return n;
    }

    /** Counts those that would be served before a newcomer of a priority, about. */
    int aheadOf(RequestPriority priority) {
        int n = 0;
        for (RequestPriority p : RequestPriority.values()) {
            n += p.compareTo(priority) >= 0 ? waiting.get(p).size() : 0;
        }
        return n;
    }

    /** Takes the next one; null if none waits. */
    Waiter poll() {
        RequestPriority best = null;
        int total = 0;
        for (RequestPriority p : RequestPriority.values()) {
            if (waiting.get(p).isEmpty()) {
                credit.put(p, 0);
                continue;
            }
            total += p.weight();
            credit.merge(p, p.weight(), Integer::sum);
            best = best == null || credit.get(p) >= credit.get(best) ? p : best;
        }
        if (best == null) {
            return null;
        }
        credit.merge(best, -total, Integer::sum);
        return waiting.get(best).pollFirst();
    }

    /** Takes out all that match. */
    void removeIf(Predicate<Waiter> test, Consumer<Waiter> removed) {
        for (Deque<Waiter> d : waiting.values()) {
            Iterator<Waiter> it = d.iterator();
            while (it.hasNext()) {
                Waiter w = it.next();
                if (test.test(w)) {
                    it.remove();
                    removed.accept(w);
                }
            }
        }
    }
}
