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
 * <p>When the connection breaks, the attempt goes on with the same run at the next frame. When that fails and no frame
 * has come, it asks the engine to cancel: an engine that says it had not started the run will refuse it from then on,
 * and the verdict is {@code NOT_RUN}.
 */
final class RunAttempt {

    private static final Logger LOG = Logger.getLogger(RunAttempt.class);
    private static final int MOST_RESUMES = 4;
    private static final Duration RESUME_DELAY = Duration.ofMillis(40);

    private final Exchange exchange;
    private final Assignment assignment;
    private final EngineClient engines;
    private final RelayCounters counters;
    private final AttemptId id = new AttemptId(UUID.randomUUID().toString());
    private final FrameGate gate;
    private final long startedAt = Ticker.SYSTEM.millis();

    RunAttempt(Exchange exchange, Assignment assignment, EngineClient engines, RelayCounters counters) {
        this.exchange = exchange;
        this.assignment = assignment;
        this.engines = engines;
        this.counters = counters;
        this.gate = new FrameGate(id, counters);
    }

    /** Runs the request; the frames end with an end frame of a whole answer, or with an {@link AttemptException}. */
    Flux<List<RunFrame>> frames() {
        Flux<List<RunFrame>> first = engines.run(assignment.head(), request());
        return follow(first, 0)
                .doOnNext(this::note)
                .onErrorMap(
                        EngineException.class,
                        e -> new AttemptException(assignment.group(), e.verdict(), gate.next() > 0, e.getMessage()))
                .doOnComplete(() -> assignment.release(false))
                .doOnError(e -> assignment.release(true))
                .doOnCancel(this::abandon);
    }

    private EngineRun request() {
        return new EngineRun(
                id,
                assignment.group(),
                assignment.fencing(),
                exchange.adapter(),
                exchange.chat().prompt(),
                exchange.chat().tokenLimit(),
                exchange.headers().priority().ordinal());
    }

    private Flux<List<RunFrame>> follow(Flux<List<RunFrame>> source, int resumes) {
        return source.takeUntilOther(assignment.whenLost(exchange.isRepeatable() && gate.next() == 0))
                .<List<RunFrame>>handle((batch, sink) -> {
                    try {
                        List<RunFrame> fresh = checked(gate.pass(batch));
                        if (!fresh.isEmpty()) {
                            sink.next(fresh);
                        }
                    } catch (EngineException e) {
                        sink.error(e);
                    }
                })
                .concatWith(Flux.defer(this::requireEnd))
                .onErrorResume(EngineException.class, e -> gate.hasEnded() ? Flux.error(e) : recover(e, resumes));
    }

    private static List<RunFrame> checked(List<RunFrame> frames) throws EngineException {
        for (RunFrame f : frames) {
            if (f.end() != null && !f.end().isWhole()) {
                throw new EngineException(Verdict.MAY_HAVE_RUN, "the engine ended the run with " + f.end());
            }
        }
        return frames;
    }

    private Flux<List<RunFrame>> requireEnd() {
        if (gate.hasEnded()) {
            return Flux.empty();
        }
        return Flux.error(new EngineException(Verdict.MAY_HAVE_RUN, "the answer stopped before its end"));
    }

    private Flux<List<RunFrame>> recover(EngineException e, int resumes) {
        if (e.verdict() == Verdict.NOT_RUN && resumes == 0 && gate.next() == 0) {
            return Flux.error(e);
        }
        if (resumes >= MOST_RESUMES || !assignment.isGroupComplete()) {
            return settle(e).flux();
        }
        LOG.debugf("relay: goes on with run %s at frame %d, %s", id, gate.next(), e.getMessage());
        counters.resumed();
        return Mono.delay(RESUME_DELAY.multipliedBy(1L << resumes))
                .thenMany(Flux.defer(() -> follow(engines.resume(assignment.head(), id, gate.next()), resumes + 1)));
    }

    /** Finds out, if it can, that the run never started. */
    private Mono<List<RunFrame>> settle(EngineException e) {
        if (gate.next() > 0) {
            return Mono.error(e);
        }
        return engines.cancel(assignment.head(), id)
                .onErrorResume(x -> Mono.error(new EngineException(Verdict.MAY_HAVE_RUN, e.getMessage())))
                .flatMap(c -> Mono.error(
                        new EngineException(c.started() ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN, e.getMessage())));
    }

    private void note(List<RunFrame> frames) {
        if (frames.get(0).n() == 0) {
            long now = Ticker.SYSTEM.millis();
            assignment.recordFirstToken(now - startedAt);
            counters.firstToken(now - exchange.receivedAt());
        }
    }

    /** The caller is gone or the deadline has passed: the run is of no use to anyone. */
    private void abandon() {
        assignment.release(false);
        if (!gate.hasEnded()) {
            engines.cancel(assignment.head(), id)
                    .subscribe(c -> {}, e -> LOG.debugf("relay: run %s was not cancelled", id));
        }
    }
}
