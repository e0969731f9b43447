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
package org.hallwall.entry.routing;

import java.io.Closeable;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

import org.hallwall.core.duty.EventLoopState;
import org.hallwall.core.duty.EventLoopThread;
import org.hallwall.core.id.ModelGroupId;
import org.hallwall.core.id.WorkspaceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.domain.DomainTiming;
import org.hallwall.entry.exchange.Exchange;
import reactor.core.publisher.Mono;

/** Queues requests and assigns each to a group. All decisions are made on one thread. */
public final class Dispatcher implements Closeable {

    private static final int RING_CAPACITY = 8_192;
    private static final long TICK_MILLIS = 20;
    private static final long REFRESH_INTERVAL_MILLIS = 100;
    private static final long FAILURE_COOLDOWN_MILLIS = 1_000;
    private static final int SLOW_PROBE_INTERVAL = 16;
    /** Retry-After of a request that is refused because the ring buffer is full. */
    private static final Duration OVERLOADED_RETRY_AFTER = Duration.ofSeconds(1);

    private static final Duration NO_GROUP_RETRY_AFTER = Duration.ofSeconds(2);

    private final RoutingTable table;
    private final DomainTiming timing;
    private final RoutingPolicy policy;
    private final RandomGenerator random;
    private final Ticker ticker;
    private final int maxQueued;
    private final EventLoopThread dispatchThread;
    private final Map<ModelGroupId, RequestQueue> queues = new HashMap<>();
    private final Map<ModelGroupId, DrainRate> drainRates = new HashMap<>();
    private final Map<WorkspaceId, Integer> queuedByWorkspace = new HashMap<>();
    private final AtomicLong assignmentsMade = new AtomicLong();
    private volatile int queuedRequests;
    private long lastRefreshMillis;

    /**
     * Creates a dispatcher that is not started yet.
     *
     * @param table the groups to route to
     * @param timing the timeouts of the failure domain
     * @param policy the policy that chooses among usable groups
     * @param random the source of randomness
     * @param ticker the clock
     * @param maxQueued the maximum number of queued requests
     */
    public Dispatcher(
            RoutingTable table,
            DomainTiming timing,
            RoutingPolicy policy,
            RandomGenerator random,
            Ticker ticker,
            int maxQueued) {
        this.table = table;
        this.timing = timing;
        this.policy = policy;
        this.random = random;
        this.ticker = ticker;
        this.maxQueued = maxQueued;
        this.dispatchThread = new EventLoopThread("dispatch", RING_CAPACITY, TICK_MILLIS, this::tick);
    }

    /** Starts the dispatch thread. */
    public void start() {
        dispatchThread.start();
    }

    /**
     * Submits a request for assignment to a group.
     *
     * @param exchange the request
     * @return the assignment, or a {@link RefusalException} with the verdict {@code NOT_RUN}
     */
    public Mono<Assignment> submit(Exchange exchange) {
        return Mono.create(sink -> {
            PendingRequest request = new PendingRequest(exchange, sink);
            if (!dispatchThread.offer(() -> admit(request))) {
                request.refuse(refusal(ProblemType.QUEUE_FULL, "this entry is overloaded", OVERLOADED_RETRY_AFTER));
            }
        });
    }

    /**
     * Returns whether any group in this failure domain serves a model group.
     *
     * @param modelGroup the model group
     * @return true if at least one group serves it
     */
    public boolean serves(ModelGroupId modelGroup) {
        return table.serves(modelGroup, ticker.millis());
    }

    /**
     * Returns the number of queued requests.
     *
     * @return the number of requests
     */
    public int queuedRequests() {
        return queuedRequests;
    }

    /**
     * Returns the number of assignments made since the start. A retried request counts again.
     *
     * @return the number of assignments
     */
    public long assignmentsMade() {
        return assignmentsMade.get();
    }

    /**
     * Returns the state of the dispatch thread.
     *
     * @return the state
     */
    public EventLoopState dutyState() {
        return dispatchThread.state();
    }

    @Override
    public void close() {
        dispatchThread.close();
    }

    boolean isComplete(GroupRoutingState state) {
        return state.view().isComplete(ticker.millis(), timing.announcementTtl());
    }

    void release(GroupRoutingState state, boolean failed) {
        state.runEnded();
        if (failed) {
            state.startCooldown(ticker.millis() + FAILURE_COOLDOWN_MILLIS);
        }
        ModelGroupId modelGroup = state.view().membership().modelGroup();
        dispatchThread.offer(() -> {
            drainRate(modelGroup).recordCompletion(ticker.millis());
            dispatchQueued(modelGroup, ticker.millis());
        });
    }

    private void tick() {
        long now = ticker.millis();
        if (now - lastRefreshMillis >= REFRESH_INTERVAL_MILLIS) {
            lastRefreshMillis = now;
            table.refresh(now);
        }
        for (ModelGroupId modelGroup : new ArrayList<>(queues.keySet())) {
            removeExpired(modelGroup, now);
            dispatchQueued(modelGroup, now);
        }
    }

    private void admit(PendingRequest request) {
        long now = ticker.millis();
        ModelGroupId modelGroup = request.exchange().modelGroup();
        if (now >= request.exchange().deadlineAt()) {
            request.refuse(refusal(ProblemType.DEADLINE_EXCEEDED, "the deadline has passed", Duration.ZERO));
            return;
        }
        if (!table.serves(modelGroup, now)) {
            request.refuse(refusal(
                    ProblemType.NO_COMPLETE_GROUP, "no complete group serves the model here", NO_GROUP_RETRY_AFTER));
            return;
        }
        if (queue(modelGroup).size() == 0 && assign(request, now)) {
            return;
        }
        enqueue(request, now);
    }

    private void enqueue(PendingRequest request, long now) {
        Exchange exchange = request.exchange();
        RequestQueue requests = queue(exchange.modelGroup());
        DrainRate rate = drainRate(exchange.modelGroup());
        Integer workspaceLimit = exchange.workspaceSpec().maxQueued();
        int workspaceQueued = queuedByWorkspace.getOrDefault(exchange.workspace(), 0);
        Duration retryAfter =
                rate.estimateWait(requests.countAhead(exchange.headers().priority()) + 1, now);
        boolean exceedsDeadline = rate.hasEstimate() && now + retryAfter.toMillis() > exchange.deadlineAt();
        if (queuedRequests >= maxQueued
                || workspaceLimit != null && workspaceQueued >= workspaceLimit
                || exceedsDeadline) {
            request.refuse(refusal(ProblemType.QUEUE_FULL, "too many requests wait for this model", retryAfter));
            return;
        }
        requests.add(request);
        adjustQueued(request, 1);
    }

    private void removeExpired(ModelGroupId modelGroup, long now) {
        boolean served = table.serves(modelGroup, now);
        queue(modelGroup)
                .removeIf(
                        request -> !served
                                || request.isCancelled()
                                || now >= request.exchange().deadlineAt(),
                        request -> refuseExpired(request, served, now));
    }

    private void refuseExpired(PendingRequest request, boolean served, long now) {
        adjustQueued(request, -1);
        if (!served) {
            request.refuse(refusal(
                    ProblemType.NO_COMPLETE_GROUP, "no complete group serves the model here", NO_GROUP_RETRY_AFTER));
        } else {
            Duration retryAfter = drainRate(request.exchange().modelGroup()).estimateWait(queuedRequests + 1, now);
            request.refuse(
                    refusal(ProblemType.DEADLINE_EXCEEDED, "the deadline passed while the request waited", retryAfter));
        }
    }

    private void dispatchQueued(ModelGroupId modelGroup, long now) {
        RequestQueue requests = queue(modelGroup);
        while (requests.size() > 0 && hasCapacity(modelGroup, now)) {
            PendingRequest request = requests.poll();
            adjustQueued(request, -1);
            if (!request.isCancelled() && !assign(request, now)) {
                // Every group with capacity is excluded for this request, for example because it failed there before.
                request.refuse(refusal(
                        ProblemType.NO_COMPLETE_GROUP,
                        "no other complete group serves the model",
                        NO_GROUP_RETRY_AFTER));
            }
        }
    }

    private boolean hasCapacity(ModelGroupId modelGroup, long now) {
        for (GroupRoutingState s : table.usableGroups(modelGroup, now)) {
            if (s.hasCapacity()) {
                return true;
            }
        }
        return false;
    }

    private boolean assign(PendingRequest request, long now) {
        List<GroupRoutingState> candidates = new ArrayList<>();
        for (GroupRoutingState s : table.usableGroups(request.exchange().modelGroup(), now)) {
            boolean fits = s.view().hasAdapter(request.exchange().adapter());
            if (fits && s.hasCapacity() && !request.exchange().hasFailedOn(s.group())) {
                candidates.add(s);
            }
        }
        if (candidates.isEmpty()) {
            return false;
        }
        GroupRoutingState chosen =
                policy.choose(excludeSlow(candidates), request.exchange().chat().prompt(), random);
        chosen.runStarted();
        assignmentsMade.incrementAndGet();
        request.assign(new Assignment(chosen, this));
        return true;
    }

    /** Excludes slow groups, except from one choice in sixteen so that their recovery is detected. */
    private List<GroupRoutingState> excludeSlow(List<GroupRoutingState> candidates) {
        if (random.nextInt(SLOW_PROBE_INTERVAL) == 0) {
            return candidates;
        }
        List<GroupRoutingState> fast =
                candidates.stream().filter(s -> !s.isSlow()).toList();
        return fast.isEmpty() ? candidates : fast;
    }

    private void adjustQueued(PendingRequest request, int change) {
        queuedRequests += change;
        queuedByWorkspace.merge(request.exchange().workspace(), change, Integer::sum);
    }

    private RequestQueue queue(ModelGroupId modelGroup) {
        return queues.computeIfAbsent(modelGroup, k -> new RequestQueue());
    }

    private DrainRate drainRate(ModelGroupId modelGroup) {
        return drainRates.computeIfAbsent(modelGroup, k -> new DrainRate());
    }

    private static RefusalException refusal(ProblemType type, String detail, Duration retryAfter) {
        return new RefusalException(type, Verdict.NOT_RUN, detail, retryAfter);
    }
}
