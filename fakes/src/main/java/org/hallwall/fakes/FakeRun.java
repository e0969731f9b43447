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
package org.hallwall.fakes;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.hallwall.core.id.AttemptId;
import org.hallwall.core.settings.Json;
import org.hallwall.engine.EngineRun;
import org.hallwall.engine.RunFrame;
import reactor.core.publisher.FluxSink;

/** One run of a stand-in engine. Its frames are kept, so that a broken connection can go on. */
final class FakeRun {

    private static final AttemptId FOREIGN = new AttemptId("foreign-attempt");

    private final EngineRun request;
    private final String promptHash;
    private final int promptTokens;
    private final int cachedTokens;
    private final List<byte[]> frames = new ArrayList<>();
    private FluxSink<ByteBuf> sink;
    private int sent;
    private double firstTokenAt;
    private int tokens;
    private RunFrame.End end;

    FakeRun(EngineRun request, int promptTokens, int cachedTokens) {
        this.request = request;
        this.promptHash = FakeAnswer.hash(request.prompt());
        this.promptTokens = promptTokens;
        this.cachedTokens = cachedTokens;
    }

    EngineRun request() {
        return request;
    }

    String promptHash() {
        return promptHash;
    }

    int cachedTokens() {
        return cachedTokens;
    }

    int tokens() {
        return tokens;
    }

    RunFrame.End end() {
        return end;
    }

    void startAt(double firstTokenTime) {
        firstTokenAt = firstTokenTime;
    }

    /** Generates the tokens that are due. */
    synchronized void generate(double now, double millisPerToken) {
        while (end == null && firstTokenAt + tokens * millisPerToken <= now) {
            add(new RunFrame(request.attempt(), tokens, FakeAnswer.token(promptHash, tokens), null, null));
            tokens++;
            if (tokens >= request.maxTokens()) {
                finish(RunFrame.End.STOP);
            }
        }
    }

    synchronized void finish(RunFrame.End how) {
        if (end != null) {
            return;
        }
        end = how;
        RunFrame.Usage usage = new RunFrame.Usage(promptTokens, cachedTokens, tokens);
        add(new RunFrame(request.attempt(), tokens, null, how, usage));
    }

    synchronized void attach(FluxSink<ByteBuf> fresh, int from) {
        sink = fresh;
        sent = Math.min(from, frames.size());
    }

    synchronized void cutConnection() {
        if (sink != null) {
            sink.error(new IllegalStateException("cut by a fault switch"));
            sink = null;
        }
    }

    /** Sends what was generated since the last time, in one buffer. */
    synchronized void flush(FakeFaults faults) {
        if (sink == null || sent >= frames.size() || faults.silentRuns()) {
            return;
        }
        List<byte[]> out = new ArrayList<>();
        for (; sent < frames.size(); sent++) {
            if (faults.foreignFrames()) {
                out.add(line(new RunFrame(FOREIGN, sent, "foreign", null, null)));
            }
            out.add(frames.get(sent));
            if (faults.doubledFrames()) {
                out.add(frames.get(sent));
            }
        }
        sink.next(Unpooled.wrappedBuffer(out.toArray(new byte[0][])));
        if (end != null) {
            sink.complete();
            sink = null;
        }
    }

    private void add(RunFrame frame) {
        frames.add(line(frame));
    }

    private static byte[] line(RunFrame frame) {
        try {
            return (Json.MAPPER.writeValueAsString(frame) + "\n").getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a frame cannot be written", e);
        }
    }
}
