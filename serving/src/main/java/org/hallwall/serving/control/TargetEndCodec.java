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
package org.hallwall.serving.control;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.hallwall.serving.target.TargetEnds.RecordedEnd;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** The encoding of ends of targets in the log and in snapshots. */
final class TargetEndCodec {

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());
    private static final TypeReference<List<RecordedEnd>> LIST = new TypeReference<>() {};

    private TargetEndCodec() {}

    static byte[] encode(List<RecordedEnd> ends) {
        try {
            return MAPPER.writeValueAsBytes(ends);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static List<RecordedEnd> decode(byte[] bytes) {
        try {
            return MAPPER.readValue(bytes, LIST);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
