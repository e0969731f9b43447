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
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;

import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.engine.EngineClient;
import org.hallwall.engine.RunFrame;
import org.hallwall.entry.exchange.Exchange;
import org.hallwall.entry.limit.RetryBudget;
import org.hallwall.entry.routing.Assignment;
import org.hallwall.entry.routing.Dispatcher;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Runs a request: asks for a group, makes an attempt, and makes another one where no promise forbids it. */
public final class RequestRunner {

    private static final Logger LOG = Logger.getLogger(RequestRunner.class);
    private static final long LEAST_BACKOFF_MILLIS = 10;
    private static final long MOST_BACKOFF_MILLIS = 60;
    private static final Duration COME_BACK = Duration.ofSeconds(1);

    private final Dispatcher dispatcher;
    private final EngineClient engines;
    private final RetryBudget budget;
    private final RelayCounters counters;
    private final RunElsewhere elsewhere;

    /**
     * Creates the runner.
     *
     * @param dispatcher gives groups
     * @param engines calls engines
     * @param budget bounds retries
     * @param counters the counters
     * @param elsewhere runs requests that no group of this failure domain serves
     */
    public RequestRunner(
            Dispatcher dispatcher,
            EngineClient engines,
            RetryBudget budget,
            RelayCounters counters,
            RunElsewhere elsewhere) {
        this.dispatcher = dispatcher;
        this.engines = engines;
        this.budget = budget;
        this.counters = counters;
        this.elsewhere = elsewhere;
    }

    /**
     * Runs a request.
     *
     * @param x the request
     * @return the frames of a whole answer, or a {@link RefusalException}
     */
    public Flux<List<RunFrame>> run(Exchange x) {
        long left = x.deadlineAt() - Ticker.SYSTEM.millis();
        AtomicBoolean done = new AtomicBoolean();
        // The deadline must complete and not fail: only its completion cancels the run.
        return tryOnce(x)
                .doOnComplete(() -> done.set(true))
                .takeUntilOther(Mono.delay(Duration.ofMillis(Math.max(1, left))))
                .concatWith(Flux.defer(() -> done.get() ? Flux.empty() : Flux.error(deadlinePassed(x))))
                .doOnComplete(budget::recordSuccess);
    }

    private Flux<List<RunFrame>> tryOnce(Exchange x) {
        return dispatcher
                .submit(x)
                .flatMapMany(a -> attempt(x, a))
                .onErrorResume(RefusalException.class, e -> refusedHere(x, e))
                .onErrorResume(AttemptException.class, e -> afterFailure(x, e));
    }

    private Flux<List<RunFrame>> refusedHere(Exchange x, RefusalException e) {
        RefusalException whole = e.after(x.verdict());
        boolean noGroup = e.type() == ProblemType.NO_COMPLETE_GROUP;
        if (!noGroup || !whole.verdict().allowsRetry(x.isRepeatable())) {
            return Flux.error(whole);
        }
        return wholeIfNeeded(x, elsewhere.run(x, whole));
    }

    private Flux<List<RunFrame>> attempt(Exchange x, Assignment a) {
        x.markDispatched();
        return wholeIfNeeded(x, new RunAttempt(x, a, engines, counters).frames());
    }

    private static Flux<List<RunFrame>> wholeIfNeeded(Exchange x, Flux<List<RunFrame>> frames) {
        if (x.chat().stream()) {
            return frames;
        }
        // Nothing goes to the caller before the answer is whole, so a failed attempt leaves no trace.
        return frames.collect(ArrayList<RunFrame>::new, List::addAll)
                .<List<RunFrame>>map(all -> all)
                .flux();
    }

    private Flux<List<RunFrame>> afterFailure(Exchange x, AttemptException e) {
        LOG.debugf("relay: request %s failed on %s, %s, %s", x.requestId(), e.group(), e.verdict(), e.getMessage());
        x.failedOn(e.group(), e.verdict());
        boolean delivered = x.chat().stream() && e.isDelivered();
        if (delivered) {
            return refuse(ProblemType.TARGET_FAILED, Verdict.RAN, "the target failed in the middle of the answer");
        }
        if (!x.verdict().allowsRetry(x.isRepeatable())) {
            return refuse(ProblemType.TARGET_FAILED, x.verdict(), e.getMessage());
        }
        if (!budget.tryAcquire()) {
            return refuse(ProblemType.RETRIES_EXHAUSTED, x.verdict(), "too many requests fail at the moment");
        }
        counters.retried();
        long wait = ThreadLocalRandom.current().nextLong(LEAST_BACKOFF_MILLIS, MOST_BACKOFF_MILLIS);
        return Mono.delay(Duration.ofMillis(wait)).thenMany(Flux.defer(() -> tryOnce(x)));
    }

    private static Flux<List<RunFrame>> refuse(ProblemType type, Verdict verdict, String detail) {
        return Flux.error(new RefusalException(type, verdict, detail, COME_BACK));
    }

    private static RefusalException deadlinePassed(Exchange x) {
        Verdict verdict = x.isDispatched() ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        return new RefusalException(
                ProblemType.DEADLINE_EXCEEDED, verdict.and(x.verdict()), "the deadline has passed", COME_BACK);
    }
}
