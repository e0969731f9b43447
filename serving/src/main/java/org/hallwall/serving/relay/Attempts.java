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
package org.hallwall.serving.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaders;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.serving.crash.RequestFeatures;
import org.hallwall.serving.crash.ResponseProgress;
import org.hallwall.serving.crash.ResponseStart;
import org.jboss.logging.Logger;

/** Tracks the attempts of one request and decides whether it is retried. */
final class Attempts {

    private static final Logger LOG = Logger.getLogger(Attempts.class);
    /** Maximum number of attempts that targets may reject, at all entries, or that cannot be sent, before the request fails. */
    private static final int MAX_REJECTIONS = 3;
    /**
     * Maximum number of other entries to which a request is forwarded, one after the other; some of them may have lost
     * their links at the same time.
     */
    static final int MAX_FORWARDS = 4;

    private static final int MAX_LOGGED_PARTS = 16;

    private final RelayContext context;
    private final RelayRequest request;
    private final Set<InstanceId> triedRecipients = new HashSet<>();
    private final Set<InstanceId> failedEntries = new HashSet<>();
    private Verdict verdict = Verdict.NOT_RUN;
    private RequestHistory history;
    private final List<NextHop> open = new ArrayList<>();
    private final Map<NextHop, ResponseStart> responseStarts = new IdentityHashMap<>();
    private final RequestCharges charges;
    private int unsentCount;
    private int sendCount;
    private int unreachableCount;
    private int forwardCount;
    private long retryAfterMillis;
    private RequestFeatures features;
    private SendKind nextSend;
    private boolean repeatable = true;

    Attempts(RelayContext context, RelayRequest request) {
        this.context = context;
        this.request = request;
        this.features = request.features();
        this.charges =
                new RequestCharges(context.retryBudget(), request.service(), request.isForwarded(), context.ticker());
        this.history = request.priorHistory();
        triedRecipients.addAll(history.targets());
        this.nextSend = history.isEmpty() ? SendKind.FIRST : SendKind.REPEAT;
    }

    /** Selects an untried recipient and records the attempt; returns null if none is left. */
    NextHop nextHop() {
        NextHop hop = isRefusedRepeat() ? null : chooseHop();
        if (hop == null) {
            charges.settle();
            return null;
        }
        return recordStart(hop);
    }

    private boolean isRefusedRepeat() {
        return request.isForwarded()
                && !history.isEmpty()
                && !context.retryBudget().acceptsRepeat(request.service());
    }

    /** Settles the charges of retries that are not sent, since the request has ended. Attempts in progress are cancelled. */
    void finish() {
        charges.finish();
    }

    /** Returns whether the request may be sent to a second target while the first one runs it. */
    private boolean mayHedge() {
        // an entry runs a forwarded request at one target, and a suspect might crash both
        return mayRetry()
                && !request.isForwarded()
                && rejections() <= MAX_REJECTIONS
                && canComplete()
                && !context.crashWatch().isSuspect(features())
                && !isHeldBack();
    }

    /**
     * Selects a recipient for a second attempt beside one that is stalled, if the route, the retry budget and the other targets allow
     * it.
     *
     * @param now the current time, in milliseconds
     * @param lost whether the stalled attempt is known to be lost
     * @return the recipient, or null
     */
    NextHop nextHedge(long now, boolean lost) {
        NextHop hop = mayHedge() ? chooseHop() : null;
        boolean usable = hop != null
                && !hop.state().isEjected(now)
                && (hop.isEntry() || hasRoom(hop.target(), lost))
                && charges.tryRetry();
        return usable ? recordStart(hop) : null;
    }

    private boolean canComplete() {
        return context.shutdown().canComplete(request.route(), request.deadlineAt());
    }

    private boolean hasRoom(ServingTarget target, boolean lost) {
        return lost
                ? context.balancer().hasFreeSlot(target)
                : context.balancer().hasSpareSlot(target);
    }

    private NextHop recordStart(NextHop hop) {
        open.add(hop);
        charges.recordSend(hop);
        triedRecipients.add(hop.target().instance());
        if (hop.isEntry()) {
            forwardCount++;
            context.metrics().countForward(true);
            LOG.infof(
                    "request %s: forwarded to entry %s in %s, %d of %d runs counted, %d attempts before",
                    request.attemptId(),
                    hop.target().instance(),
                    hop.target().failureDomain(),
                    history.runs(),
                    request.route().maxAttempts(),
                    sendCount);
        } else {
            context.metrics().countSend(request.service(), nextSend);
        }
        sendCount++;
        nextSend = SendKind.REPEAT;
        return hop;
    }

    /** Selects an untried recipient; returns null if none is left. */
    private NextHop chooseHop() {
        List<ServingTarget> candidates = context.candidates().available(request);
        EntryForwarder forwarder = context.forwarder();
        if (forwarder.shouldForward(request, candidates, triedRecipients, unreachableCount)) {
            NextHop entry = forwardCount < MAX_FORWARDS ? forwarder.select(triedRecipients, failedEntries) : null;
            if (entry != null || forwarder.isPartitioned()) {
                return entry;
            }
        }
        ServingTarget target = chooseTarget(forwarder.preferReachable(candidates, triedRecipients));
        return target == null
                ? null
                : new TargetHop(target, context.balancer().state(target), context.client(), new AttemptConnection());
    }

    /** Selects a target; one whose response was lost behind another entry only if no other is left. */
    private ServingTarget chooseTarget(List<ServingTarget> candidates) {
        ServingTarget untried = chooseTarget(candidates, triedRecipients);
        if (untried != null) {
            return untried;
        }
        Set<InstanceId> failed = new HashSet<>(triedRecipients);
        failed.removeAll(history.startedAt());
        return chooseTarget(candidates, failed);
    }

    /** Selects a target. Those with a rate limit are preferred, since an unused permit expires soon. */
    private ServingTarget chooseTarget(List<ServingTarget> candidates, Set<InstanceId> excluded) {
        ServingTarget permitted =
                context.balancer().chooseWithFreeSlot(context.candidates().withRateLimit(candidates), excluded);
        return permitted != null ? permitted : context.balancer().choose(candidates, excluded);
    }

    /** Describes why no recipient is left, for logs and clients. */
    String describeNoHop() {
        if (isRefusedRepeat()) {
            return "too many abandoned repeats of this entry may still arrive";
        }
        return context.forwarder().isPartitioned()
                ? "this entry has lost its links to the targets, and no other entry is left"
                : context.candidates().describe(request);
    }

    /** Returns the Retry-After time of a request that has not run, in milliseconds. */
    long retryAfterMillis() {
        if (!canComplete()) {
            return Shutdown.OTHER_ENTRY_RETRY_MILLIS;
        }
        return retryAfterMillis > 0 ? retryAfterMillis : context.candidates().retryAfterMillis(request);
    }

    /** Sets whether another attempt could continue the response that the client has received so far. */
    void setRepeatable(boolean value) {
        repeatable = value;
    }

    /** Returns whether the request may run once more besides the attempts in progress. */
    boolean mayRetry() {
        return repeatable
                && request.route().isRetryable()
                && history.runs() + open.size() < request.route().maxAttempts();
    }

    private boolean isHeldBack() {
        return context.crashWatch().isWatching()
                && context.crashWatch().isHeld(features(), history.disconnectedBy(), history.disconnectedAtStartBy());
    }

    Verdict verdict() {
        return verdict;
    }

    /** Returns the finished attempts that have reached targets, at all entries. */
    RequestHistory history() {
        return history;
    }

    /**
     * Returns the history that is sent along with an attempt.
     *
     * @param hop the attempt
     * @return the finished attempts, and the run of each other attempt in progress
     */
    RequestHistory historyBefore(NextHop hop) {
        RequestHistory out = history;
        for (NextHop other : open) {
            if (other != hop) {
                out = out.withRunInProgress(other);
            }
        }
        return out;
    }

    /**
     * Adds the attempts to a response for the entry that has forwarded the request, if it was forwarded.
     *
     * @param to the headers of the response
     * @param hop the current attempt
     * @param status the status of the response
     */
    void writeHistory(HttpHeaders to, NextHop hop, int status) {
        if (request.isForwarded()) {
            RequestHistory.Outcome outcome =
                    BufferedResponse.isFailure(status) ? RequestHistory.Outcome.RAN : RequestHistory.Outcome.STARTED;
            ForwardHeaders.writeHistory(to, historyBefore(hop).with(hop.target().instance(), outcome));
        }
    }

    /**
     * Returns the refusal of the request after its last attempt.
     *
     * @param reason the message
     * @return the refusal, with the time after which a request that has not run should be retried
     */
    RelayRefusal toRefusal(String reason) {
        boolean late = verdict != Verdict.NOT_RUN && context.now() >= request.deadlineAt();
        RelayRefusal refusal = late
                ? new RelayRefusal(504, verdict, reason, 0)
                : RelayRefusal.fromVerdict(verdict, reason, retryAfterMillis());
        return refusal.withHistory(history);
    }

    /** Returns the number of attempts that have not run. */
    int rejections() {
        return unsentCount + history.rejections();
    }

    /** Records that an attempt was aborted without a response. */
    void abandon(NextHop hop, ResponseProgress progress) {
        recordEnd(hop, AttemptFailure.abandoned("aborted"), progress);
        verdict = verdict.combineWith(Verdict.MAY_HAVE_RUN);
        markAbandoned(hop, progress);
    }

    /** Records that an attempt was cancelled because another one has responded first. */
    void recordSuperseded(NextHop hop, ResponseProgress progress) {
        abandon(hop, progress);
        hop.state().recordSuperseded(context.now());
        context.metrics().countAttempt("superseded");
        LOG.infof(
                "request %s: attempt at %s cancelled after %d ms, another one has responded first; %d of %d runs counted",
                request.attemptId(),
                hop.target().instance(),
                context.now() - request.receivedAt(),
                history.runs(),
                request.route().maxAttempts());
    }

    /** Logs that the request is ended by the shutdown of this entry. */
    void logShutdown() {
        LOG.warnf(
                "request %s on %s: aborted by the shutdown of this entry after %d ms, %s, %d of %d runs counted",
                request.attemptId(),
                request.route().name(),
                context.now() - request.receivedAt(),
                verdict,
                history.runs(),
                request.route().maxAttempts());
    }

    /** Logs the complete response that is returned to the client. */
    void logResponse(NextHop hop, int status, int bytes) {
        LOG.infof(
                "request %s on %s: status %d with %d bytes in %d ms from %s on connection %s, %d rejected",
                request.attemptId(),
                request.route().name(),
                status,
                bytes,
                context.now() - request.receivedAt(),
                hop.target().instance(),
                hop.connection().describe(),
                rejections());
    }

    /** Records that a recipient has responded. */
    void recordResponse(NextHop hop) {
        charges.recordResponse(hop);
    }

    /** Adds a finished attempt to the history; returns whether it has reached a target. */
    private boolean recordEnd(NextHop hop, AttemptFailure f, ResponseProgress progress) {
        open.remove(hop);
        charges.recordFailure(hop, f, progress);
        RequestHistory before = historyBefore(hop);
        RequestHistory after = hop.historyAfter(before, f, progress);
        history = after;
        for (NextHop other : open) {
            history = history.withoutRunInProgress(other);
        }
        triedRecipients.addAll(history.targets());
        return !after.equals(before);
    }

    /** Records that the current attempt was abandoned while the target may still run it. */
    void markAbandoned(NextHop hop, ResponseProgress progress) {
        if (!hop.isEntry()) {
            context.crashWatch().recordAbandoned(hop.target().instance(), features(), progress);
        }
    }

    /** Records that the recipient of an attempt has begun to respond. */
    void markStarted(NextHop hop) {
        if (!hop.isEntry()) {
            responseStarts.put(
                    hop, context.crashWatch().startResponse(hop.target().instance()));
        }
    }

    /** Records that the target of an attempt has written enough of the response to have survived the prompt. */
    void markEstablished(NextHop hop) {
        // another entry records the answers of the targets that it has sent a request to
        if (responseStarts.containsKey(hop)) {
            context.crashWatch().recordEstablished(responseStarts.get(hop), features());
        }
    }

    /** Records that the target of an attempt has responded. */
    void markAnswered(NextHop hop) {
        ResponseStart start = responseStarts.get(hop);
        if (start != null) {
            context.crashWatch().recordAnswer(start, features());
            hop.connection()
                    .whenClosedAfterResponse(() -> context.crashWatch().recordCloseAfterResponse(start.target()));
        }
    }

    /** Determines the features on first use; null until the key is known. */
    private RequestFeatures features() {
        if (features == null && context.crashWatch().digester() != null) {
            features = request.computeFeatures(context.crashWatch().digester(), context.headerNames());
        }
        return features;
    }

    /**
     * Records a failed attempt and decides whether the request is retried.
     *
     * @param hop the recipient
     * @param f the failure
     * @param progress how much of the response the recipient had sent
     * @param events the number of events received before
     * @return the decision
     */
    RetryDecision recordFailure(NextHop hop, AttemptFailure f, ResponseProgress progress, long events) {
        ServingTarget target = hop.target();
        context.metrics().countAttempt(f.verdict().name());
        boolean reached = recordEnd(hop, f, progress);
        if (!reached && f.kind() != AttemptFailure.Kind.UNAVAILABLE) {
            unsentCount++;
        }
        retryAfterMillis = Math.max(retryAfterMillis, f.retryAfterMillis());
        if (f.verdict() == Verdict.NOT_RUN || !hop.hasReport()) {
            updateTargetState(hop.state(), target, f);
            failedEntries.add(target.instance());
        }
        if (!hop.isEntry()) {
            unreachableCount += f.isUnreachable() ? 1 : 0;
            updateCrashWatch(hop, f, progress);
        }
        verdict = verdict.combineWith(f.verdict());
        RetryDecision decision = decide(f, hop.hasReport() ? reached : f.hasReachedTarget(), events);
        if (!decision.isRetry()) {
            charges.settle();
        }
        context.metrics().countRetryDecision(request.service(), decision);
        LOG.infof(
                "request %s: attempt at %s of %s failed after %d ms and %d events, %s: %s; %s (%s); %d of %d runs counted; attempt %d of %s%s on connection %s",
                request.attemptId(),
                target.instance(),
                target.group() == null ? "-" : target.group().name(),
                context.now() - request.receivedAt(),
                events,
                f.verdict(),
                f.getMessage(),
                decision,
                context.retryBudget().describe(request.service()),
                history.runs(),
                request.route().maxAttempts(),
                sendCount,
                features == null ? null : features.request(),
                describePromptParts(),
                hop.connection().describe());
        return decision;
    }

    private String describePromptParts() {
        List<String> parts = request.sharedPromptParts(context.headerNames());
        if (parts.isEmpty()) {
            return "";
        }
        boolean all = parts.size() <= MAX_LOGGED_PARTS;
        return " with prompt parts " + (all ? parts : parts.subList(0, MAX_LOGGED_PARTS) + " of " + parts.size());
    }

    private void updateTargetState(TargetState state, ServingTarget target, AttemptFailure f) {
        if (f.isMisdirected()) {
            state.markDisplaced(target, context.now());
        } else if (f.verdict() != Verdict.NOT_RUN || f.isUnreachable()) {
            state.recordFailure(context.now());
        }
    }

    private void updateCrashWatch(NextHop hop, AttemptFailure f, ResponseProgress progress) {
        ServingTarget target = hop.target();
        switch (f.kind()) {
            case CONNECTION_REFUSED:
                context.crashWatch().recordRefusal(target.instance());
                break;
            case CONNECTION_LOST:
                context.crashWatch().recordDisconnect(target.instance(), features(), progress);
                break;
            case ABANDONED:
                markAbandoned(hop, progress);
                break;
            default:
                // not sent, or the target has responded
                break;
        }
    }

    private RetryDecision decide(AttemptFailure f, boolean arrived, long events) {
        if (!open.isEmpty()) {
            return RetryDecision.IN_PROGRESS;
        }
        boolean allowed = f.verdict() == Verdict.NOT_RUN
                ? rejections() <= MAX_REJECTIONS
                : request.route().isRetryable()
                        && history.runs() < request.route().maxAttempts();
        if (!allowed || !repeatable) {
            return RetryDecision.NOT_ALLOWED;
        }
        if (request.isForwarded() && f.verdict() != Verdict.NOT_RUN) {
            // only the entry that received the request from the client knows all of its runs
            return RetryDecision.RETURNED;
        }
        if (isHeldBack()) {
            return RetryDecision.HELD_BACK;
        }
        // a stream that has begun needs less time than a whole one
        if (events == 0 && !canComplete()) {
            return RetryDecision.SHUTTING_DOWN;
        }
        if (!arrived) {
            nextSend = SendKind.UNCHARGED;
            return RetryDecision.UNCHARGED;
        }
        return charges.tryRetry() ? RetryDecision.GRANTED : RetryDecision.REFUSED;
    }
}
