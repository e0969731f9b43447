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

import org.hallwall.core.duty.DutyState;
import org.hallwall.core.duty.DutyThread;
import org.hallwall.core.id.ModelGroupId;
import org.hallwall.core.id.WorkspaceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.domain.DomainTiming;
import org.hallwall.entry.exchange.Exchange;
import reactor.core.publisher.Mono;

/** Queues requests and gives each a group; one thread decides. */
public final class Dispatcher implements Closeable {

    private static final int RING = 8_192;
    private static final long TICK_MILLIS = 20;
    private static final long REFRESH_MILLIS = 100;
    private static final long FAILED_MILLIS = 1_000;
    private static final int SLOW_PROBE = 16;
    /** When a caller retries whom a full ring has refused: the ring empties in well under a second. */
    private static final Duration OVERLOADED_WAIT = Duration.ofSeconds(1);

    private static final Duration NO_GROUP_WAIT = Duration.ofSeconds(2);

    private final GroupTable table;
    private final DomainTiming timing;
    private final RoutingPolicy policy;
    private final RandomGenerator random;
    private final Ticker ticker;
    private final int maxQueued;
    private final DutyThread duty;
    private final Map<ModelGroupId, RequestQueue> queues = new HashMap<>();
    private final Map<ModelGroupId, DrainRate> rates = new HashMap<>();
    private final Map<WorkspaceId, Integer> queuedByWorkspace = new HashMap<>();
    private final AtomicLong dispatched = new AtomicLong();
    private volatile int queued;
    private long refreshedAt;

    /**
     * Creates the dispatcher; {@link #start()} starts it.
     *
     * @param table the groups
     * @param timing the time limits
     * @param policy how a group is chosen
     * @param random the source of random choices
     * @param ticker the clock
     * @param maxQueued how many requests may wait
     */
    public Dispatcher(
            GroupTable table,
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
        this.duty = new DutyThread("dispatch", RING, TICK_MILLIS, this::tick);
    }

    /** Starts the thread. */
    public void start() {
        duty.start();
    }

    /**
     * Asks for a group.
     *
     * @param x the request
     * @return the group, or a {@link RefusalException}; the request has not run on any group through this call
     */
    public Mono<Assignment> submit(Exchange x) {
        return Mono.create(sink -> {
            Waiter w = new Waiter(x, sink);
            if (!duty.offer(() -> take(w))) {
                w.refuse(refusal(ProblemType.QUEUE_FULL, "this entry is overloaded", OVERLOADED_WAIT));
            }
        });
    }

    /**
     * Says whether any group of a model group serves here.
     *
     * @param modelGroup the model group
     * @return true if one does
     */
    public boolean serves(ModelGroupId modelGroup) {
        return table.serves(modelGroup, ticker.millis());
    }

    /**
     * Counts the requests that wait.
     *
     * @return how many
     */
    public int queued() {
        return queued;
    }

    /**
     * Counts the requests that were given a group since the start.
     *
     * @return how many
     */
    public long dispatched() {
        return dispatched.get();
    }

    /**
     * Gives the state of the ring.
     *
     * @return the state
     */
    public DutyState dutyState() {
        return duty.state();
    }

    @Override
    public void close() {
        duty.close();
    }

    boolean isComplete(GroupSlot slot) {
        return slot.view().isComplete(ticker.millis(), timing.announceLease());
    }

    void ended(GroupSlot slot, boolean failed) {
        slot.ended();
        if (failed) {
            slot.failed(ticker.millis() + FAILED_MILLIS);
        }
        ModelGroupId modelGroup = slot.view().membership().modelGroup();
        duty.offer(() -> {
            rate(modelGroup).note(ticker.millis());
            serveQueue(modelGroup, ticker.millis());
        });
    }

    private void tick() {
        long now = ticker.millis();
        if (now - refreshedAt >= REFRESH_MILLIS) {
            refreshedAt = now;
            table.refresh(now);
        }
        for (ModelGroupId m : new ArrayList<>(queues.keySet())) {
            expire(m, now);
            serveQueue(m, now);
        }
    }

    private void take(Waiter w) {
        long now = ticker.millis();
        ModelGroupId m = w.exchange().modelGroup();
        if (now >= w.exchange().deadlineAt()) {
            w.refuse(refusal(ProblemType.DEADLINE_EXCEEDED, "the deadline has passed", Duration.ZERO));
            return;
        }
        if (!table.serves(m, now)) {
            w.refuse(refusal(ProblemType.NO_COMPLETE_GROUP, "no complete group serves the model here", NO_GROUP_WAIT));
            return;
        }
        if (queue(m).size() == 0 && assign(w, now)) {
            return;
        }
        enqueue(w, now);
    }

    private void enqueue(Waiter w, long now) {
        Exchange x = w.exchange();
        RequestQueue q = queue(x.modelGroup());
        DrainRate rate = rate(x.modelGroup());
        Integer most = x.workspaceSpec().maxQueued();
        int mine = queuedByWorkspace.getOrDefault(x.workspace(), 0);
        Duration wait = rate.timeFor(q.aheadOf(x.headers().priority()) + 1, now);
        boolean hopeless = rate.isKnown() && now + wait.toMillis() > x.deadlineAt();
        if (queued >= maxQueued || most != null && mine >= most || hopeless) {
            w.refuse(refusal(ProblemType.QUEUE_FULL, "too many requests wait for this model", wait));
            return;
        }
        q.add(w);
        count(w, 1);
    }

    private void expire(ModelGroupId m, long now) {
        boolean served = table.serves(m, now);
        queue(m).removeIf(
                        w -> !served || w.isGone() || now >= w.exchange().deadlineAt(),
                        w -> dropWaiting(w, served, now));
    }

    private void dropWaiting(Waiter w, boolean served, long now) {
        count(w, -1);
        if (!served) {
            w.refuse(refusal(ProblemType.NO_COMPLETE_GROUP, "no complete group serves the model here", NO_GROUP_WAIT));
        } else {
            Duration wait = rate(w.exchange().modelGroup()).timeFor(queued + 1, now);
            w.refuse(refusal(ProblemType.DEADLINE_EXCEEDED, "the deadline passed while the request waited", wait));
        }
    }

    private void serveQueue(ModelGroupId m, long now) {
        RequestQueue q = queue(m);
        while (q.size() > 0 && hasRoom(m, now)) {
            Waiter w = q.poll();
            count(w, -1);
            if (!w.isGone() && !assign(w, now)) {
                // Only this request cannot use the groups that have room: it failed on them before.
                w.refuse(refusal(
                        ProblemType.NO_COMPLETE_GROUP, "no other complete group serves the model", NO_GROUP_WAIT));
            }
        }
    }

    private boolean hasRoom(ModelGroupId m, long now) {
        for (GroupSlot s : table.usable(m, now)) {
            if (s.hasRoom()) {
                return true;
            }
        }
        return false;
    }

    private boolean assign(Waiter w, long now) {
        List<GroupSlot> candidates = new ArrayList<>();
        for (GroupSlot s : table.usable(w.exchange().modelGroup(), now)) {
            boolean fits = s.view().hasAdapter(w.exchange().adapter());
            if (fits && s.hasRoom() && !w.exchange().hasFailedOn(s.group())) {
                candidates.add(s);
            }
        }
        if (candidates.isEmpty()) {
            return false;
        }
        GroupSlot chosen =
                policy.choose(withoutSlow(candidates), w.exchange().chat().prompt(), random);
        chosen.began();
        dispatched.incrementAndGet();
        w.give(new Assignment(chosen, this));
        return true;
    }

    /** A slow group still gets one request in sixteen, so that its recovery is seen. */
    private List<GroupSlot> withoutSlow(List<GroupSlot> candidates) {
        if (random.nextInt(SLOW_PROBE) == 0) {
            return candidates;
        }
        List<GroupSlot> fast = candidates.stream().filter(s -> !s.isSlow()).toList();
        return fast.isEmpty() ? candidates : fast;
    }

    private void count(Waiter w, int change) {
        queued += change;
        queuedByWorkspace.merge(w.exchange().workspace(), change, Integer::sum);
    }

    private RequestQueue queue(ModelGroupId m) {
        return queues.computeIfAbsent(m, k -> new RequestQueue());
    }

    private DrainRate rate(ModelGroupId m) {
        return rates.computeIfAbsent(m, k -> new DrainRate());
    }

    private static RefusalException refusal(ProblemType type, String detail, Duration wait) {
        return new RefusalException(type, Verdict.NOT_RUN, detail, wait);
    }
}
