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

import java.util.EnumMap;
import java.util.Map;

import org.hallwall.entry.exchange.Exchange;
import org.hallwall.entry.exchange.RequestHeaders;
import org.hallwall.entry.exchange.RequestPriority;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RequestQueueTest {

    private final RequestQueue queue = new RequestQueue();

    @Test
    void servesPrioritiesByWeight() {
        for (RequestPriority p : RequestPriority.values()) {
            for (int i = 0; i < 100; i++) {
                queue.add(pendingRequest(p));
            }
        }
        Map<RequestPriority, Integer> served = new EnumMap<>(RequestPriority.class);
        for (int i = 0; i < 63; i++) {
            served.merge(queue.poll().exchange().headers().priority(), 1, Integer::sum);
        }
        assertEquals(48, served.get(RequestPriority.HIGH));
        assertEquals(12, served.get(RequestPriority.NORMAL));
        assertEquals(3, served.get(RequestPriority.LOW));
    }

    @Test
    void servesInOrderOfArrivalWithinPriority() {
        PendingRequest first = pendingRequest(RequestPriority.LOW);
        PendingRequest second = pendingRequest(RequestPriority.LOW);
        queue.add(first);
        queue.add(second);
        assertEquals(first, queue.poll());
        assertEquals(second, queue.poll());
        assertNull(queue.poll());
    }

    @Test
    void countsRequestsAhead() {
        queue.add(pendingRequest(RequestPriority.LOW));
        queue.add(pendingRequest(RequestPriority.HIGH));
        assertEquals(1, queue.countAhead(RequestPriority.HIGH));
        assertEquals(2, queue.countAhead(RequestPriority.LOW));
    }

    private static PendingRequest pendingRequest(RequestPriority priority) {
        RequestHeaders headers = new RequestHeaders(null, null, null, priority, 0, 0);
        PendingRequest[] out = new PendingRequest[1];
        Mono.<Assignment>create(sink -> out[0] = new PendingRequest(new Exchange(headers, null, true, 0, 0), sink))
                .subscribe();
        assertTrue(out[0] != null);
        return out[0];
    }
}
