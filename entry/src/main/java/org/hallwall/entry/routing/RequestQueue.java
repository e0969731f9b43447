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
 * Queue of the requests for one model group. Uses smooth weighted round robin over the priorities, so that low
 * priorities are not starved. Not thread-safe.
 */
final class RequestQueue {

    private final Map<RequestPriority, Deque<PendingRequest>> queues = new EnumMap<>(RequestPriority.class);
    private final Map<RequestPriority, Integer> credits = new EnumMap<>(RequestPriority.class);

    RequestQueue() {
        for (RequestPriority p : RequestPriority.values()) {
            queues.put(p, new ArrayDeque<>());
            credits.put(p, 0);
        }
    }

    void add(PendingRequest request) {
        queues.get(request.exchange().headers().priority()).addLast(request);
    }

    int size() {
        int count = 0;
        for (Deque<PendingRequest> queue : queues.values()) {
            count += queue.size();
        }
        return count;
    }

    /** Estimates how many queued requests would be served before a new one of the given priority. */
    int countAhead(RequestPriority priority) {
        int count = 0;
        for (RequestPriority p : RequestPriority.values()) {
            count += p.compareTo(priority) >= 0 ? queues.get(p).size() : 0;
        }
        return count;
    }

    /** Removes and returns the next request, or null if the queue is empty. */
    PendingRequest poll() {
        RequestPriority best = null;
        int total = 0;
        for (RequestPriority p : RequestPriority.values()) {
            if (queues.get(p).isEmpty()) {
                credits.put(p, 0);
                continue;
            }
            total += p.weight();
            credits.merge(p, p.weight(), Integer::sum);
            best = best == null || credits.get(p) >= credits.get(best) ? p : best;
        }
        if (best == null) {
            return null;
        }
        credits.merge(best, -total, Integer::sum);
        return queues.get(best).pollFirst();
    }

    /** Removes all requests that match, and passes each to a callback. */
    void removeIf(Predicate<PendingRequest> predicate, Consumer<PendingRequest> onRemoved) {
        for (Deque<PendingRequest> queue : queues.values()) {
            Iterator<PendingRequest> it = queue.iterator();
            while (it.hasNext()) {
                PendingRequest request = it.next();
                if (predicate.test(request)) {
                    it.remove();
                    onRemoved.accept(request);
                }
            }
        }
    }
}
