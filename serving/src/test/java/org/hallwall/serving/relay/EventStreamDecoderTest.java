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

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Events are decoded completely whatever the chunk boundaries. */
class EventStreamDecoderTest {

    private static final String STREAM = "id: 1\ndata: a\n\nweights: 2\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: part";

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 7, 1000})
    void decodesCompleteEvents(int chunkLength) {
        EventStreamDecoder decoder = new EventStreamDecoder();
        List<EventStreamDecoder.Event> events = new ArrayList<>();
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < bytes.length; i += chunkLength) {
            int end = Math.min(bytes.length, i + chunkLength);
            events.addAll(decoder.decode(java.util.Arrays.copyOfRange(bytes, i, end)));
        }
        Assertions.assertEquals(
                List.of(1L, 2L),
                events.stream().map(EventStreamDecoder.Event::id).toList());
        Assertions.assertEquals("id: 1\ndata: a\n\n", new String(events.get(0).bytes(), StandardCharsets.UTF_8));
        Assertions.assertEquals(
                "weights: 2\nid: 2\r\ndata: b\r\n\r\n", new String(events.get(1).bytes(), StandardCharsets.UTF_8));
        Assertions.assertTrue(decoder.hasPartialEvent());
    }

    @ParameterizedTest
    @ValueSource(strings = {"data: a\n\n", "id: x\ndata: a\n\n"})
    void eventsWithoutNumericIdHaveNoId(String text) {
        EventStreamDecoder decoder = new EventStreamDecoder();
        List<EventStreamDecoder.Event> events = decoder.decode(text.getBytes(StandardCharsets.UTF_8));
        Assertions.assertEquals(EventStreamDecoder.Event.NO_ID, events.get(0).id());
        Assertions.assertFalse(decoder.hasPartialEvent());
    }
}
