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
package org.hallwall.entry.request;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Supplier;

import org.apache.commons.codec.digest.DigestUtils;
import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.entry.EntrySettings;
import org.hallwall.entry.claim.IdempotencyKey;
import org.hallwall.entry.claim.IdempotentAnswer;
import org.hallwall.entry.claim.IdempotentRunner;
import org.hallwall.entry.exchange.Exchange;
import org.hallwall.entry.forward.RequestForwarder;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Handles requests with an idempotency key. A request runs in the home failure domain of its key, and is forwarded to
 * the entry that already runs the same key, if there is one.
 *
 * @param <T> the type of the parts of an answer
 */
public final class IdempotencyKeyHandler<T> {

    private static final int MAX_HOPS = 2;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final FailureDomainId domain;
    private final IdempotentRunner<T> runs;
    private final RequestForwarder forwarder;
    private final TreeSet<FailureDomainId> domains = new TreeSet<>();
    private final Map<FailureDomainId, List<NetAddress>> callerAddressesByDomain = new HashMap<>();
    private final Map<InstanceId, NetAddress> callerAddressByEntry = new HashMap<>();

    /**
     * Creates the handler.
     *
     * @param settings the settings of this entry
     * @param runs the runner of requests with a key
     * @param forwarder the client that forwards requests to other entries
     */
    public IdempotencyKeyHandler(EntrySettings settings, IdempotentRunner<T> runs, RequestForwarder forwarder) {
        this.domain = settings.failureDomain();
        this.runs = runs;
        this.forwarder = forwarder;
        domains.add(domain);
        for (EntrySettings.OtherDomain other : settings.otherDomains()) {
            domains.add(other.failureDomain());
            callerAddressesByDomain.put(
                    other.failureDomain(),
                    other.entries().stream()
                            .map(EntrySettings.OtherEntry::callers)
                            .toList());
        }
        for (EntrySettings.Peer peer : settings.domainEntries()) {
            if (peer.callers() != null) {
                callerAddressByEntry.put(peer.instance(), peer.callers());
            }
        }
    }

    /**
     * Handles a request with a key.
     *
     * @param exchange the request
     * @param call the HTTP request and response
     * @param run starts the request
     * @param reply sends an answer to the caller
     * @return completes when the response has been sent, or fails with a {@link RefusalException}
     */
    public Mono<Void> handle(
            Exchange exchange, HttpCall call, Supplier<Flux<T>> run, Function<Flux<T>, Mono<Void>> reply) {
        IdempotencyKey key =
                IdempotencyKey.parse(exchange.workspace(), exchange.headers().idempotencyKey());
        FailureDomainId home = key.homeDomain(domains);
        if (!home.equals(domain)) {
            return forwardToHome(exchange, call, home);
        }
        return runs.run(key, call.hash(), run).flatMap(answer -> respond(exchange, call, answer, reply));
    }

    private Mono<Void> respond(
            Exchange exchange, HttpCall call, IdempotentAnswer<T> answer, Function<Flux<T>, Mono<Void>> reply) {
        if (answer.owner() == null) {
            return reply.apply(answer.parts().takeUntilOther(deadline(exchange)));
        }
        RefusalException ownerUnreachable = new RefusalException(
                ProblemType.OUTCOME_UNKNOWN,
                Verdict.MAY_HAVE_RUN,
                "the entry that runs the request cannot be reached",
                RETRY_AFTER);
        NetAddress owner = callerAddressByEntry.get(answer.owner());
        return forward(exchange, call, owner == null ? List.of() : List.of(owner), ownerUnreachable);
    }

    private Mono<Void> forwardToHome(Exchange exchange, HttpCall call, FailureDomainId home) {
        RefusalException unreachable = new RefusalException(
                ProblemType.CLAIM_UNAVAILABLE,
                Verdict.NOT_RUN,
                "the failure domain that keeps the key cannot be reached",
                RETRY_AFTER);
        List<NetAddress> addresses = new ArrayList<>(callerAddressesByDomain.get(home));
        Collections.shuffle(addresses);
        return forward(exchange, call, addresses, unreachable);
    }

    private Mono<Void> forward(
            Exchange exchange, HttpCall call, List<NetAddress> addresses, RefusalException unreachable) {
        if (exchange.headers().hops() >= MAX_HOPS) {
            return Mono.error(unreachable);
        }
        return forwarder
                .forward(call.req(), call.body(), exchange.headers().hops(), addresses, unreachable, call.res())
                .takeUntilOther(deadline(exchange));
    }

    private Mono<Void> deadline(Exchange exchange) {
        long remaining = Math.max(1, exchange.deadlineAt() - Ticker.SYSTEM.millis());
        return Mono.delay(Duration.ofMillis(remaining))
                .then(Mono.error(new RefusalException(
                        ProblemType.DEADLINE_EXCEEDED, Verdict.MAY_HAVE_RUN, "the deadline has passed", RETRY_AFTER)));
    }

    /**
     * An HTTP request with its body, and the response to it.
     *
     * @param req the HTTP request
     * @param res the HTTP response
     * @param body the body
     */
    public record HttpCall(HttpServerRequest req, HttpServerResponse res, byte[] body) {

        /**
         * Returns a hash that identifies the content of the request.
         *
         * @return the hash of the method, the URI and the body
         */
        String hash() {
            byte[] requestLine = (req.method() + " " + req.uri() + "\n").getBytes(StandardCharsets.UTF_8);
            return DigestUtils.sha256Hex(DigestUtils.sha256Hex(requestLine) + DigestUtils.sha256Hex(body));
        }
    }
}
