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

/** The events of a stream that have been delivered to the client. Confined to one I/O thread. */
final class StreamProgress {

    private String lastEventId;
    private long lastId = EventStreamDecoder.Event.NO_ID;
    private long deliveredAt;
    private long events;
    private long longestPauseMillis;
    private long firstEventMillis;

    /**
     * Creates the progress of a new request.
     *
     * @param lastEventId the last event that the client has received earlier, or null
     */
    StreamProgress(String lastEventId) {
        this.lastEventId = lastEventId;
        if (lastEventId != null) {
            lastId = parseEventId(lastEventId);
        }
    }

    /** Returns whether an event follows the last one. */
    boolean isNext(EventStreamDecoder.Event e) {
        return e.id() == EventStreamDecoder.Event.NO_ID
                || lastId == EventStreamDecoder.Event.NO_ID
                || e.id() == lastId + 1;
    }

    /** Returns whether events are missing between the last one and this one. */
    boolean isAfterGap(EventStreamDecoder.Event e) {
        return !isNext(e) && e.id() > lastId;
    }

    /**
     * Records a delivered event.
     *
     * @param e the event
     * @param now the current time, in milliseconds
     * @param receivedAt the time at which the request was received, in milliseconds
     */
    void record(EventStreamDecoder.Event e, long now, long receivedAt) {
        if (events == 0) {
            firstEventMillis = now - receivedAt;
        } else {
            longestPauseMillis = Math.max(longestPauseMillis, now - deliveredAt);
        }
        deliveredAt = now;
        events++;
        if (e.id() != EventStreamDecoder.Event.NO_ID) {
            lastId = e.id();
            lastEventId = Long.toString(e.id());
        }
    }

    long events() {
        return events;
    }

    /** Returns the time of the last event, in milliseconds; zero before the first. */
    long deliveredAt() {
        return deliveredAt;
    }

    long lastId() {
        return lastId;
    }

    /** Returns the last event that the client has received, or null. */
    String lastEventId() {
        return lastEventId;
    }

    long longestPauseMillis() {
        return longestPauseMillis;
    }

    long firstEventMillis() {
        return firstEventMillis;
    }

    private static long parseEventId(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return EventStreamDecoder.Event.NO_ID;
        }
    }
}
