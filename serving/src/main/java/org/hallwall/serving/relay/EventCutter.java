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

/** Cuts a stream of bytes into whole events; what follows the last whole one is kept back until it is whole. */
public final class EventCutter {

    /** The largest event that is taken, in bytes; far above the few hundred that targets send. */
    private static final int MOST_BYTES = 1 << 20;

    private static final String ID = "id:";

    private final ByteArrayOutputStream held = new ByteArrayOutputStream(512);
    private int newlines;

    /**
     * Takes bytes.
     *
     * @param bytes the bytes
     * @return the events that are whole now, in order
     * @throws IllegalArgumentException if an event is too large
     */
    public List<Event> take(byte[] bytes) {
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
                held.write(bytes, from, i + 1 - from);
                from = i + 1;
                newlines = 0;
                out.add(event(held.toByteArray()));
                held.reset();
            }
        }
        held.write(bytes, from, bytes.length - from);
        if (held.size() > MOST_BYTES) {
            throw new IllegalArgumentException("an event is larger than " + MOST_BYTES + " bytes");
        }
        return out;
    }

    /**
     * Says whether part of an event is kept back.
     *
     * @return true if the bytes so far do not end with a whole event
     */
    public boolean holdsPart() {
        return held.size() > 0;
    }

    private static Event event(byte[] bytes) {
        long id = Event.NO_ID;
        for (String line : new String(bytes, StandardCharsets.ISO_8859_1).split("\r?\n")) {
            if (line.startsWith(ID)) {
                id = parse(line.substring(ID.length()).trim());
            }
        }
        return new Event(bytes, id);
    }

    private static long parse(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return Event.NO_ID;
        }
    }

    /**
     * A whole event.
     *
     * @param bytes its bytes, with the empty line at its end
     * @param id its id, or {@link #NO_ID}
     */
    public record Event(byte[] bytes, long id) {

        /** Stands for an event without a numeric id. */
        public static final long NO_ID = Long.MIN_VALUE;
    }
}
