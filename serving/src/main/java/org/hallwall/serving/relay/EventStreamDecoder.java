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

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Splits a byte stream into server-sent events and buffers the last, incomplete one. */
public final class EventStreamDecoder {

    /**
     * Maximum size of an event, in bytes; targets send a few hundred.
     */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream(512);
    private int newlines;

    /**
     * Decodes a chunk of the stream.
     *
     * @param bytes the chunk
     * @return the events completed by this chunk, in order
     * @throws IllegalArgumentException if an event is too large
     */
    public List<Event> decode(byte[] bytes) {
        List<Event> out = new ArrayList<>(2);
        int from = 0;
        for (int i = 0; i < bytes.length; i++) {
            byte b = bytes[i];
            if (b == '\n') {
                newlines++;
            } else if (b != '\r') {
                newlines = 0;
            }
            if (newlines == 2) {
                pending.write(bytes, from, i + 1 - from);
                from = i + 1;
                newlines = 0;
                out.add(toEvent(pending.toByteArray()));
                pending.reset();
            }
        }
        pending.write(bytes, from, bytes.length - from);
        if (pending.size() > MAX_EVENT_BYTES) {
            throw new IllegalArgumentException("an event is larger than " + MAX_EVENT_BYTES + " bytes");
        }
        return out;
    }

    /**
     * Returns whether an incomplete event is buffered.
     *
     * @return true if the bytes so far do not end with a complete event
     */
    public boolean hasPartialEvent() {
        return pending.size() > 0;
    }

    /** Returns the memory of the incomplete event, in bytes; its buffer is at most twice as large. */
    int bufferedBytes() {
        return 2 * pending.size();
    }

    /** Returns the bytes of the incomplete event; empty if there is none. */
    byte[] partialEvent() {
        return pending.toByteArray();
    }

    private static Event toEvent(byte[] bytes) {
        long id = Event.NO_ID;
        for (String line : new String(bytes, StandardCharsets.ISO_8859_1).split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                id = parseId(line.substring(ID_FIELD.length()).trim());
            }
        }
        return new Event(bytes, id);
    }

    private static long parseId(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return Event.NO_ID;
        }
    }

    /**
     * A complete event.
     *
     * @param bytes the bytes, including the terminating empty line
     * @param id the id, or {@link #NO_ID}
     */
    public record Event(byte[] bytes, long id) {

        /** The id of events without a numeric id. */
        public static final long NO_ID = Long.MIN_VALUE;

        /** Returns whether the event has no fields, as those that keep a connection alive. */
        boolean isComment() {
            return new String(bytes, StandardCharsets.ISO_8859_1)
                    .lines()
                    .allMatch(l -> l.isEmpty() || l.startsWith(":"));
        }
    }
}
