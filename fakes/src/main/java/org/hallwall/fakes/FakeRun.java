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

/** A run of a fake engine. Frames are retained so that a client can resume after a lost connection. */
final class FakeRun {

    private static final AttemptId FOREIGN_ATTEMPT = new AttemptId("foreign-attempt");

    private final EngineRun request;
    private final String promptHash;
    private final int promptTokens;
    private final int cachedTokens;
    private final List<byte[]> frames = new ArrayList<>();
    private FluxSink<ByteBuf> sink;
    private int nextFrame;
    private double firstTokenMillis;
    private int generatedTokens;
    private RunFrame.End end;

    FakeRun(EngineRun request, int promptTokens, int cachedTokens) {
        this.request = request;
        this.promptHash = FakeCompletion.hash(request.prompt());
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

    int generatedTokens() {
        return generatedTokens;
    }

    RunFrame.End end() {
        return end;
    }

    void scheduleFirstToken(double firstTokenTime) {
        firstTokenMillis = firstTokenTime;
    }

    /** Generates all tokens that are due. */
    synchronized void generate(double now, double millisPerToken) {
        while (end == null && firstTokenMillis + generatedTokens * millisPerToken <= now) {
            addFrame(new RunFrame(
                    request.attempt(), generatedTokens, FakeCompletion.token(promptHash, generatedTokens), null, null));
            generatedTokens++;
            if (generatedTokens >= request.maxTokens()) {
                finish(RunFrame.End.STOP);
            }
        }
    }

    synchronized void finish(RunFrame.End reason) {
        if (end != null) {
            return;
        }
        end = reason;
        RunFrame.Usage usage = new RunFrame.Usage(promptTokens, cachedTokens, generatedTokens);
        addFrame(new RunFrame(request.attempt(), generatedTokens, null, reason, usage));
    }

    synchronized void attach(FluxSink<ByteBuf> newSink, int from) {
        sink = newSink;
        nextFrame = Math.min(from, frames.size());
    }

    synchronized void dropConnection() {
        if (sink != null) {
            sink.error(new IllegalStateException("connection dropped by fault injection"));
            sink = null;
        }
    }

    /** Sends all unsent frames in one buffer. */
    synchronized void flush(FakeFaults faults) {
        if (sink == null || nextFrame >= frames.size() || faults.silentRuns()) {
            return;
        }
        List<byte[]> buffers = new ArrayList<>();
        for (; nextFrame < frames.size(); nextFrame++) {
            if (faults.foreignFrames()) {
                buffers.add(encodeLine(new RunFrame(FOREIGN_ATTEMPT, nextFrame, "foreign", null, null)));
            }
            buffers.add(frames.get(nextFrame));
            if (faults.doubledFrames()) {
                buffers.add(frames.get(nextFrame));
            }
        }
        sink.next(Unpooled.wrappedBuffer(buffers.toArray(new byte[0][])));
        if (end != null) {
            sink.complete();
            sink = null;
        }
    }

    private void addFrame(RunFrame frame) {
        frames.add(encodeLine(frame));
    }

    private static byte[] encodeLine(RunFrame frame) {
        try {
            return (Json.MAPPER.writeValueAsString(frame) + "\n").getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize frame", e);
        }
    }
}
