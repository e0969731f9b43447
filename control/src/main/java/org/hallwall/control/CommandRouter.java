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
package org.hallwall.control;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.log.LogProposalException;
import org.hallwall.log.LogVoter;
import org.hallwall.resource.ResourceMessage.Command;
import org.hallwall.resource.ResourceMessage.CommandReply;
import org.hallwall.resource.ResourceMessage.ReadIndex;
import org.hallwall.resource.ResourceMessage.ReadIndexReply;
import org.hallwall.wire.PeerException;
import org.hallwall.wire.PeerLink;
import reactor.core.publisher.Mono;

/** Routes commands and linearizable reads to the leader of the replicated log, which may be this voter. */
public final class CommandRouter {

    private static final Duration TIMEOUT = Duration.ofSeconds(4);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration APPLY_POLL_INTERVAL = Duration.ofMillis(10);

    private final InstanceId self;
    private final LogVoter voter;
    private final DeclarationStateMachine machine;
    private final Map<InstanceId, PeerLink> links;

    /**
     * Creates the router.
     *
     * @param self the name of this voter
     * @param voter this voter
     * @param machine the replicated declarations
     * @param links the links to the other voters
     */
    public CommandRouter(
            InstanceId self, LogVoter voter, DeclarationStateMachine machine, Map<InstanceId, PeerLink> links) {
        this.self = self;
        this.voter = voter;
        this.machine = machine;
        this.links = links;
    }

    /**
     * Submits a command.
     *
     * @param command the command
     * @return its outcome, or a {@link RefusalException} whose verdict states whether the command may have been applied
     */
    public Mono<DeclarationOutcome> submit(DeclarationCommand command) {
        byte[] bytes = DeclarationCodec.write(command);
        return Mono.defer(() -> submitToLeader(bytes)).timeout(TIMEOUT).onErrorMap(CommandRouter::toRefusal);
    }

    /**
     * Waits until this voter has applied every change committed before the call, so that a local read is linearizable.
     *
     * @return completion, or a {@link RefusalException} if no leader with a quorum responds
     */
    public Mono<Void> awaitReadIndex() {
        return Mono.defer(this::requestReadIndex)
                .flatMap(this::awaitApplied)
                .timeout(TIMEOUT)
                .onErrorMap(e -> noQuorum(Verdict.NOT_RUN, "no leader with a quorum responded"));
    }

    /**
     * Handles a command forwarded by another voter.
     *
     * @param command the command
     * @return the reply
     */
    public Mono<CommandReply> handleCommand(Command command) {
        return Mono.fromFuture(voter.propose(command.command()))
                .map(o -> new CommandReply(DeclarationCodec.write(o), Verdict.RAN, ""))
                .onErrorResume(
                        LogProposalException.class,
                        e -> Mono.just(new CommandReply(null, e.verdict(), e.getMessage())));
    }

    /**
     * Handles a read index request of another voter.
     *
     * @return the reply
     */
    public Mono<ReadIndexReply> handleReadIndex() {
        return Mono.fromFuture(voter.quorumReadIndex())
                .map(ReadIndexReply::new)
                .onErrorResume(e -> Mono.just(new ReadIndexReply(0)));
    }

    private Mono<DeclarationOutcome> submitToLeader(byte[] bytes) {
        InstanceId leader = voter.state().leader();
        if (leader == null) {
            return Mono.error(noQuorum(Verdict.NOT_RUN, "no leader is known"));
        }
        if (leader.equals(self)) {
            return Mono.fromFuture(voter.propose(bytes)).cast(DeclarationOutcome.class);
        }
        return links.get(leader)
                .call(new Command(bytes), TIMEOUT)
                .cast(CommandReply.class)
                .flatMap(CommandRouter::toOutcome);
    }

    private static Mono<DeclarationOutcome> toOutcome(CommandReply reply) {
        if (reply.outcome() == null) {
            return Mono.error(noQuorum(reply.verdict(), reply.detail()));
        }
        return Mono.just(DeclarationCodec.read(reply.outcome(), DeclarationOutcome.class));
    }

    private Mono<Long> requestReadIndex() {
        InstanceId leader = voter.state().leader();
        if (leader == null) {
            return Mono.error(noQuorum(Verdict.NOT_RUN, "no leader is known"));
        }
        if (leader.equals(self)) {
            CompletableFuture<Long> index = voter.quorumReadIndex();
            return Mono.fromFuture(index);
        }
        return links.get(leader)
                .call(new ReadIndex(Ticker.SYSTEM.millis()), TIMEOUT)
                .cast(ReadIndexReply.class)
                .filter(r -> r.index() > 0)
                .map(ReadIndexReply::index)
                .switchIfEmpty(Mono.error(noQuorum(Verdict.NOT_RUN, "the leader has no quorum")));
    }

    private Mono<Void> awaitApplied(long index) {
        return Mono.fromSupplier(() -> machine.applied() >= index)
                .filter(Boolean::booleanValue)
                .repeatWhenEmpty(tries -> tries.delayElements(APPLY_POLL_INTERVAL))
                .then();
    }

    private static Throwable toRefusal(Throwable e) {
        if (e instanceof RefusalException) {
            return e;
        }
        if (e instanceof LogProposalException p) {
            return noQuorum(p.verdict(), p.getMessage());
        }
        if (e instanceof PeerException p) {
            return noQuorum(p.verdict(), p.getMessage());
        }
        if (e instanceof TimeoutException) {
            return noQuorum(Verdict.MAY_HAVE_RUN, "no quorum confirmed the change in time; retry it unchanged");
        }
        return e;
    }

    private static RefusalException noQuorum(Verdict verdict, String detail) {
        return new RefusalException(ProblemType.NO_QUORUM, verdict, detail, RETRY_AFTER);
    }
}
