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

    private static final byte[] NONE = {};

    private String lastEventId;
    private long lastId = EventStreamDecoder.Event.NO_ID;
    private byte[] interruptedEvent = NONE;
    private long deliveredAt;
    private boolean resumable = true;
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
        this.lastId = parseEventId(lastEventId);
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
        interruptedEvent = NONE;
        events++;
        if (!e.isComment()) {
            resumable = e.id() != EventStreamDecoder.Event.NO_ID;
        }
        if (e.id() != EventStreamDecoder.Event.NO_ID) {
            lastId = e.id();
            lastEventId = Long.toString(e.id());
        }
    }

    /**
     * Records that a target has sent something of a later event, so that the stream does not end with the last one.
     *
     * @param lastIdBefore the event before it
     * @param bytes what has been received of the event; empty for nothing
     */
    void recordInterruptedEvent(long lastIdBefore, byte[] bytes) {
        if (bytes.length > 0 && lastIdBefore >= lastId) {
            interruptedEvent = bytes;
        }
    }

    /** Returns what has been received of an event after the last one; empty for nothing. */
    byte[] interruptedEvent() {
        return interruptedEvent;
    }

    /** Returns whether the id of the last event says where another run has to continue. */
    boolean isResumable() {
        return resumable;
    }

    /** Returns whether a run that ends after an event can have ended the stream. */
    boolean mayEndAfter(long id) {
        return interruptedEvent.length == 0 && id >= lastId;
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

    /** Parses the id of an event; returns {@link EventStreamDecoder.Event#NO_ID} if it is null or no number. */
    static long parseEventId(String text) {
        if (text == null) {
            return EventStreamDecoder.Event.NO_ID;
        }
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return EventStreamDecoder.Event.NO_ID;
        }
    }
}
