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

/** Runs requests on groups. Retries failed attempts if the verdict allows it and the retry budget is not exhausted. */
public final class RequestRunner {

    private static final Logger LOG = Logger.getLogger(RequestRunner.class);
    private static final long MIN_BACKOFF_MILLIS = 10;
    private static final long MAX_BACKOFF_MILLIS = 60;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final Dispatcher dispatcher;
    private final EngineClient engines;
    private final RetryBudget budget;
    private final RelayMetrics metrics;
    private final CrossDomainRunner crossDomainRunner;

    /**
     * Creates the runner.
     *
     * @param dispatcher assigns requests to groups
     * @param engines the client for engines
     * @param budget the retry budget
     * @param metrics the metrics of the request path
     * @param crossDomainRunner runs requests in another failure domain if no group of this one serves them
     */
    public RequestRunner(
            Dispatcher dispatcher,
            EngineClient engines,
            RetryBudget budget,
            RelayMetrics metrics,
            CrossDomainRunner crossDomainRunner) {
        this.dispatcher = dispatcher;
        this.engines = engines;
        this.budget = budget;
        this.metrics = metrics;
        this.crossDomainRunner = crossDomainRunner;
    }

    /**
     * Runs a request.
     *
     * @param exchange the request
     * @return the frames of the complete answer, or a {@link RefusalException}
     */
    public Flux<List<RunFrame>> run(Exchange exchange) {
        long remaining = exchange.deadlineAt() - Ticker.SYSTEM.millis();
        AtomicBoolean completed = new AtomicBoolean();
        // The timer completes instead of failing, since only its completion cancels the run.
        return dispatch(exchange)
                .doOnComplete(() -> completed.set(true))
                .takeUntilOther(Mono.delay(Duration.ofMillis(Math.max(1, remaining))))
                .concatWith(Flux.defer(() -> completed.get() ? Flux.empty() : Flux.error(deadlineExceeded(exchange))))
                .doOnComplete(budget::recordSuccess);
    }

    private Flux<List<RunFrame>> dispatch(Exchange exchange) {
        return dispatcher
                .submit(exchange)
                .flatMapMany(assignment -> runOn(exchange, assignment))
                .onErrorResume(RefusalException.class, e -> failOverOrRefuse(exchange, e))
                .onErrorResume(AttemptException.class, e -> retryOrRefuse(exchange, e));
    }

    private Flux<List<RunFrame>> failOverOrRefuse(Exchange exchange, RefusalException e) {
        RefusalException refusal = e.withEarlierVerdict(exchange.verdict());
        boolean noGroup = e.type() == ProblemType.NO_COMPLETE_GROUP;
        if (!noGroup || !refusal.verdict().allowsRetry(exchange.isRepeatable())) {
            return Flux.error(refusal);
        }
        return bufferUnlessStreaming(exchange, crossDomainRunner.run(exchange, refusal));
    }

    private Flux<List<RunFrame>> runOn(Exchange exchange, Assignment assignment) {
        exchange.markDispatched();
        return bufferUnlessStreaming(exchange, new RunAttempt(exchange, assignment, engines, metrics).frames());
    }

    private static Flux<List<RunFrame>> bufferUnlessStreaming(Exchange exchange, Flux<List<RunFrame>> frames) {
        if (exchange.chat().stream()) {
            return frames;
        }
        // The answer is buffered until it is complete, so a failed attempt can be retried without visible effects.
        return frames.collect(ArrayList<RunFrame>::new, List::addAll)
                .<List<RunFrame>>map(all -> all)
                .flux();
    }

    private Flux<List<RunFrame>> retryOrRefuse(Exchange exchange, AttemptException e) {
        LOG.debugf(
                "relay: request %s failed on group %s, verdict %s: %s",
                exchange.requestId(), e.group(), e.verdict(), e.getMessage());
        exchange.recordFailure(e.group(), e.verdict());
        boolean delivered = exchange.chat().stream() && e.isPartlyDelivered();
        if (delivered) {
            return refuse(
                    ProblemType.TARGET_FAILED, Verdict.RAN, "the target failed after part of the answer was delivered");
        }
        if (!exchange.verdict().allowsRetry(exchange.isRepeatable())) {
            return refuse(ProblemType.TARGET_FAILED, exchange.verdict(), e.getMessage());
        }
        if (!budget.tryAcquire()) {
            return refuse(ProblemType.RETRIES_EXHAUSTED, exchange.verdict(), "the retry budget is exhausted");
        }
        metrics.countRetry();
        long backoff = ThreadLocalRandom.current().nextLong(MIN_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
        return Mono.delay(Duration.ofMillis(backoff)).thenMany(Flux.defer(() -> dispatch(exchange)));
    }

    private static Flux<List<RunFrame>> refuse(ProblemType type, Verdict verdict, String detail) {
        return Flux.error(new RefusalException(type, verdict, detail, RETRY_AFTER));
    }

    private static RefusalException deadlineExceeded(Exchange exchange) {
        Verdict verdict = exchange.isDispatched() ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        return new RefusalException(
                ProblemType.DEADLINE_EXCEEDED,
                verdict.combineWith(exchange.verdict()),
                "the deadline has passed",
                RETRY_AFTER);
    }
}
