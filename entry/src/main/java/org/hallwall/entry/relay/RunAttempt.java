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
package org.hallwall.entry.relay;

import java.time.Duration;
import java.util.List;
import java.util.UUID;

import org.hallwall.core.id.AttemptId;
import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.engine.EngineClient;
import org.hallwall.engine.EngineException;
import org.hallwall.engine.EngineRun;
import org.hallwall.engine.RunFrame;
import org.hallwall.entry.exchange.Exchange;
import org.hallwall.entry.routing.Assignment;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * One attempt to run a request on one group.
 *
 * <p>If the connection breaks, the attempt resumes the same run at the next frame. If that fails before any frame was
 * received, the attempt cancels the run: an engine that replies that the run was not started rejects it from then on,
 * so the verdict is {@code NOT_RUN}.
 */
final class RunAttempt {

    private static final Logger LOG = Logger.getLogger(RunAttempt.class);
    private static final int MAX_RESUMES = 4;
    private static final Duration RESUME_DELAY = Duration.ofMillis(40);

    private final Exchange exchange;
    private final Assignment assignment;
    private final EngineClient engines;
    private final RelayMetrics metrics;
    private final AttemptId id = new AttemptId(UUID.randomUUID().toString());
    private final FrameSequencer sequencer;
    private final long startedAt = Ticker.SYSTEM.millis();

    RunAttempt(Exchange exchange, Assignment assignment, EngineClient engines, RelayMetrics metrics) {
        this.exchange = exchange;
        this.assignment = assignment;
        this.engines = engines;
        this.metrics = metrics;
        this.sequencer = new FrameSequencer(id, metrics);
    }

    /** Runs the request. The frames are terminated by an end frame or by an {@link AttemptException}. */
    Flux<List<RunFrame>> frames() {
        Flux<List<RunFrame>> first = engines.startRun(assignment.head(), engineRun());
        return receive(first, 0)
                .doOnNext(this::recordFirstToken)
                .onErrorMap(
                        EngineException.class,
                        e -> new AttemptException(
                                assignment.group(), e.verdict(), sequencer.nextIndex() > 0, e.getMessage()))
                .doOnComplete(() -> assignment.release(false))
                .doOnError(e -> assignment.release(true))
                .doOnCancel(this::cancel);
    }

    private EngineRun engineRun() {
        return new EngineRun(
                id,
                assignment.group(),
                assignment.fencing(),
                exchange.adapter(),
                exchange.chat().prompt(),
                exchange.chat().tokenLimit(),
                exchange.headers().priority().ordinal());
    }

    private Flux<List<RunFrame>> receive(Flux<List<RunFrame>> source, int resumes) {
        return source.takeUntilOther(assignment.whenLost(exchange.isRepeatable() && sequencer.nextIndex() == 0))
                .<List<RunFrame>>handle((batch, sink) -> {
                    try {
                        List<RunFrame> newFrames = requireNoFailedEnd(sequencer.accept(batch));
                        if (!newFrames.isEmpty()) {
                            sink.next(newFrames);
                        }
                    } catch (EngineException e) {
                        sink.error(e);
                    }
                })
                .concatWith(Flux.defer(this::requireEndFrame))
                .onErrorResume(
                        EngineException.class, e -> sequencer.hasEnded() ? Flux.error(e) : resumeOrFail(e, resumes));
    }

    private static List<RunFrame> requireNoFailedEnd(List<RunFrame> frames) throws EngineException {
        for (RunFrame f : frames) {
            if (f.end() != null && !f.end().isComplete()) {
                throw new EngineException(Verdict.MAY_HAVE_RUN, "the engine ended the run with status " + f.end());
            }
        }
        return frames;
    }

    private Flux<List<RunFrame>> requireEndFrame() {
        if (sequencer.hasEnded()) {
            return Flux.empty();
        }
        return Flux.error(new EngineException(Verdict.MAY_HAVE_RUN, "the answer ended without an end frame"));
    }

    private Flux<List<RunFrame>> resumeOrFail(EngineException e, int resumes) {
        if (e.verdict() == Verdict.NOT_RUN && resumes == 0 && sequencer.nextIndex() == 0) {
            return Flux.error(e);
        }
        if (resumes >= MAX_RESUMES || !assignment.isGroupComplete()) {
            return failAfterCancel(e).flux();
        }
        LOG.debugf("relay: resuming run %s at frame %d after: %s", id, sequencer.nextIndex(), e.getMessage());
        metrics.countResume();
        return Mono.delay(RESUME_DELAY.multipliedBy(1L << resumes))
                .thenMany(Flux.defer(
                        () -> receive(engines.resumeRun(assignment.head(), id, sequencer.nextIndex()), resumes + 1)));
    }

    /** Cancels the run to determine whether it was started, and fails with the resulting verdict. */
    private Mono<List<RunFrame>> failAfterCancel(EngineException e) {
        if (sequencer.nextIndex() > 0) {
            return Mono.error(e);
        }
        return engines.cancelRun(assignment.head(), id)
                .onErrorResume(cancelError -> Mono.error(new EngineException(Verdict.MAY_HAVE_RUN, e.getMessage())))
                .flatMap(c -> Mono.error(
                        new EngineException(c.started() ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN, e.getMessage())));
    }

    private void recordFirstToken(List<RunFrame> frames) {
        if (frames.get(0).n() == 0) {
            long now = Ticker.SYSTEM.millis();
            assignment.recordFirstToken(now - startedAt);
            metrics.observeFirstToken(now - exchange.receivedAt());
        }
    }

    /** Cancels the run after the caller disconnected or the deadline passed. */
    private void cancel() {
        assignment.release(false);
        if (!sequencer.hasEnded()) {
            engines.cancelRun(assignment.head(), id)
                    .subscribe(c -> {}, e -> LOG.debugf("relay: failed to cancel run %s", id));
        }
    }
}
