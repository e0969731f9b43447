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
package org.hallwall.serving.group;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.serving.target.GroupMembership;
import org.hallwall.serving.target.TargetRecord;
import org.jboss.logging.Logger;

/**
 * Verifies the group memberships of engines in the current term by querying them.
 *
 * <p>Announcements may arrive seconds late. A controller that has just started, or that learns of them from other instances, cannot
 * tell a late one from the latest, so it does not use an engine before the engine itself has reported its group. The first join is
 * conditional on the reported revision, which excludes orders of an earlier controller that are executed after the report. From
 * then on the sequence numbers of announcements suffice.
 *
 * <p>All methods are called by one thread, on which the dispatcher runs the actions that it receives.
 */
final class MembershipVerifier {

    private static final Logger LOG = Logger.getLogger(MembershipVerifier.class);
    private static final Duration QUERY_TIMEOUT = Duration.ofMillis(300);
    /** The interval between queries of an engine, in milliseconds; a report may be some hundred milliseconds old. */
    private static final long QUERY_INTERVAL_MILLIS = 400;
    /** The interval between queries of an engine that did not answer, in milliseconds. */
    private static final long UNANSWERED_INTERVAL_MILLIS = 2_000;
    /** The maximum number of concurrent queries. */
    private static final int MAX_CONCURRENT_QUERIES = 32;

    private final TargetGateway gateway;
    private final Consumer<Runnable> dispatcher;
    private final Consumer<TargetRecord> unansweredListener;
    private final Ticker ticker;
    private final Map<InstanceId, Long> queriedAt = new HashMap<>();
    private final Map<InstanceId, Verification> verified = new HashMap<>();
    private final Set<InstanceId> unanswered = new HashSet<>();
    private final AtomicInteger runningQueries = new AtomicInteger();
    private int generation;

    /**
     * Creates a verifier.
     *
     * @param gateway queries the engines
     * @param dispatcher runs actions on the owner's thread
     * @param unansweredListener receives engines that did not answer
     * @param ticker the clock
     */
    MembershipVerifier(
            TargetGateway gateway,
            Consumer<Runnable> dispatcher,
            Consumer<TargetRecord> unansweredListener,
            Ticker ticker) {
        this.gateway = gateway;
        this.dispatcher = dispatcher;
        this.unansweredListener = unansweredListener;
        this.ticker = ticker;
    }

    /** Discards all reports, at the start of a term. */
    void clear() {
        verified.clear();
        unanswered.clear();
        queriedAt.clear();
        generation++;
    }

    /**
     * Returns an engine's record with the membership that applies: the reported one until a later announcement is known.
     *
     * @param announced the last announcement
     * @return the record
     */
    TargetRecord merge(TargetRecord announced) {
        Verification v = verified.get(announced.instance());
        if (v == null || v.isSuperseded(announced)) {
            return announced;
        }
        return announced.withGroup(v.group, v.model);
    }

    /**
     * Returns whether an engine has reported its membership in this term.
     *
     * @param engine the engine
     * @return the state of its verification
     */
    VerificationState state(InstanceId engine) {
        if (verified.containsKey(engine)) {
            return VerificationState.VERIFIED;
        }
        return unanswered.contains(engine) ? VerificationState.UNANSWERED : VerificationState.PENDING;
    }

    /**
     * Queries engines whose membership is not verified, or whose announcements differ from their report.
     *
     * @param engines the engines that are to be verified
     * @param max the maximum number of queries to start
     */
    void query(Collection<Engine> engines, int max) {
        long now = ticker.millis();
        int remaining = Math.min(max, MAX_CONCURRENT_QUERIES - runningQueries.get());
        for (Engine e : engines) {
            if (remaining <= 0) {
                return;
            }
            if (isDue(e.id(), now)) {
                query(e.record(), now);
                remaining--;
            }
        }
    }

    private boolean isDue(InstanceId engine, long now) {
        Verification v = verified.get(engine);
        Long last = queriedAt.get(engine);
        long interval = unanswered.contains(engine) ? UNANSWERED_INTERVAL_MILLIS : QUERY_INTERVAL_MILLIS;
        boolean waited = last == null || now - last >= interval;
        return waited && (v == null || v.contradicted);
    }

    private void query(TargetRecord record, long now) {
        int askedIn = generation;
        queriedAt.put(record.instance(), now);
        runningQueries.incrementAndGet();
        gateway.readReport(record, QUERY_TIMEOUT)
                .map(Optional::of)
                .defaultIfEmpty(Optional.empty())
                .subscribe(report -> {
                    runningQueries.decrementAndGet();
                    dispatcher.accept(() -> {
                        if (askedIn == generation) {
                            apply(record, report);
                        }
                    });
                });
    }

    private void apply(TargetRecord record, Optional<EngineReport> answer) {
        if (answer.isEmpty()) {
            unanswered.add(record.instance());
            unansweredListener.accept(record);
            return;
        }
        unanswered.remove(record.instance());
        EngineReport report = answer.get();
        LOG.infof(
                "groups: %s reports group %s after %d orders; announcement %d is of group %s",
                record.instance(), report.group(), report.revision(), record.sequence(), record.group());
        verified.put(
                record.instance(),
                new Verification(report.group(), report.model(), report.revision(), record.sequence()));
    }

    /**
     * Returns the revision on which a join is conditional.
     *
     * @param engine the engine
     * @return the revision, or null if this controller has sent the engine an order since its report
     */
    Long revision(InstanceId engine) {
        Verification v = verified.get(engine);
        return v == null ? null : v.revision;
    }

    /**
     * Records that an order is being sent; it may increase the revision of the engine before its answer arrives.
     *
     * @param engine the engine
     */
    void recordSent(InstanceId engine) {
        verified.computeIfPresent(engine, (id, v) -> v.withoutRevision());
    }

    /**
     * Records the outcome of an order.
     *
     * @param engine the engine
     * @param order the order
     * @param outcome its outcome
     * @return false if the engine has accepted an order of another controller since its report
     */
    boolean recordOutcome(InstanceId engine, TargetOrder order, OrderOutcome outcome) {
        if (outcome == OrderOutcome.TAKEN && order instanceof TargetOrder.Leave o) {
            // leaving takes effect at once, so that no further report is needed
            verified.computeIfPresent(engine, (id, v) -> v.isMemberOf(o.group(), o.epoch()) ? v.withoutGroup() : v);
        }
        boolean conditional = isConditional(order);
        if (conditional && (outcome == OrderOutcome.CONFLICT || outcome == OrderOutcome.UNKNOWN)) {
            verified.remove(engine);
        }
        return !conditional || outcome != OrderOutcome.CONFLICT;
    }

    /**
     * Removes engines that are no longer known.
     *
     * @param known the known engines
     */
    void retain(Collection<InstanceId> known) {
        verified.keySet().retainAll(known);
        unanswered.retainAll(known);
        queriedAt.keySet().retainAll(known);
    }

    private static boolean isConditional(TargetOrder order) {
        return order instanceof TargetOrder.Join o && o.expectedRevision() != null;
    }

    /** The last reported membership, with the sequence number of the announcement that was known then. */
    private static final class Verification {

        private final GroupMembership group;
        private final String model;
        private final Long revision;
        private final long sequence;
        private boolean superseded;
        private boolean contradicted;

        Verification(GroupMembership group, String model, Long revision, long sequence) {
            this.group = group;
            this.model = model;
            this.revision = revision;
            this.sequence = sequence;
        }

        Verification withoutRevision() {
            Verification out = new Verification(group, model, null, sequence);
            out.superseded = superseded;
            out.contradicted = contradicted;
            return out;
        }

        Verification withoutGroup() {
            return new Verification(null, null, null, sequence);
        }

        boolean isMemberOf(String name, long epoch) {
            return !superseded
                    && group != null
                    && group.epoch() == epoch
                    && group.name().equals(name);
        }

        /** Returns whether an announcement later than the report is known, and records it. */
        boolean isSuperseded(TargetRecord announced) {
            superseded = superseded || isLater(announced);
            contradicted = !superseded && !Objects.equals(group, announced.group());
            return superseded;
        }

        /** Epochs of an engine never decrease, nor do the states of one epoch up to the end of the group. */
        private boolean isLater(TargetRecord announced) {
            GroupMembership a = announced.group();
            if (group == null) {
                return announced.sequence() > sequence;
            }
            if (a == null) {
                return false;
            }
            return group.isSameGroup(a) ? a.state().compareTo(group.state()) >= 0 : a.epoch() > group.epoch();
        }
    }
}
