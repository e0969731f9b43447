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
package org.hallwall.entry.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.hallwall.core.id.AttemptId;
import org.hallwall.engine.RunFrame;
import org.hallwall.entry.claim.AnswerCodec;
import org.hallwall.entry.claim.StoredAnswer;
import reactor.core.publisher.Flux;

/** Converts chat completions to and from stored answers, with the text of all frames as the body. */
public final class ChatAnswerCodec implements AnswerCodec<List<RunFrame>> {

    private static final AttemptId STORED_ATTEMPT = new AttemptId("stored");

    @Override
    public boolean isLast(List<RunFrame> part) {
        return part.get(part.size() - 1).end() != null;
    }

    @Override
    public StoredAnswer encode(List<List<RunFrame>> parts) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        RunFrame last = null;
        for (List<RunFrame> part : parts) {
            for (RunFrame frame : part) {
                if (frame.text() != null) {
                    text.writeBytes(frame.text().getBytes(StandardCharsets.UTF_8));
                }
                last = frame;
            }
        }
        return new StoredAnswer(0, null, text.toByteArray(), last.end(), last.usage());
    }

    @Override
    public Flux<List<RunFrame>> decode(StoredAnswer answer) {
        String text = new String(answer.body(), StandardCharsets.UTF_8);
        return Flux.just(List.of(
                new RunFrame(STORED_ATTEMPT, 0, text, null, null),
                new RunFrame(STORED_ATTEMPT, 1, null, answer.end(), answer.usage())));
    }
}
