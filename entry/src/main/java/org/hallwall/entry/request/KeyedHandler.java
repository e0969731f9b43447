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
import org.hallwall.entry.claim.ClaimKey;
import org.hallwall.entry.claim.KeyedAnswer;
import org.hallwall.entry.claim.KeyedRuns;
import org.hallwall.entry.exchange.Exchange;
import org.hallwall.entry.forward.CallerForwarder;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Handles requests with an idempotency key: here, at the entry that runs the key already, or at the key's home.
 *
 * @param <T> the type of the parts of an answer
 */
public final class KeyedHandler<T> {

    private static final int MOST_HOPS = 2;
    private static final Duration COME_BACK = Duration.ofSeconds(1);

    private final FailureDomainId domain;
    private final KeyedRuns<T> runs;
    private final CallerForwarder forwarder;
    private final TreeSet<FailureDomainId> domains = new TreeSet<>();
    private final Map<FailureDomainId, List<NetAddress>> homes = new HashMap<>();
    private final Map<InstanceId, NetAddress> entries = new HashMap<>();

    /**
     * Creates the handler.
     *
     * @param settings the settings of this entry
     * @param runs runs requests with a key
     * @param forwarder forwards requests to other entries
     */
    public KeyedHandler(EntrySettings settings, KeyedRuns<T> runs, CallerForwarder forwarder) {
        this.domain = settings.failureDomain();
        this.runs = runs;
        this.forwarder = forwarder;
        domains.add(domain);
        for (EntrySettings.OtherDomain d : settings.otherDomains()) {
            domains.add(d.failureDomain());
            homes.put(
                    d.failureDomain(),
                    d.entries().stream().map(EntrySettings.OtherEntry::callers).toList());
        }
        for (EntrySettings.Peer p : settings.domainEntries()) {
            if (p.callers() != null) {
                entries.put(p.instance(), p.callers());
            }
        }
    }

    /**
     * Handles a request with a key.
     *
     * @param x the request
     * @param call the request as it came
     * @param run runs the request
     * @param reply writes an answer
     * @return the end of the reply, or a {@link RefusalException}
     */
    public Mono<Void> handle(Exchange x, RawCall call, Supplier<Flux<T>> run, Function<Flux<T>, Mono<Void>> reply) {
        ClaimKey key = ClaimKey.of(x.workspace(), x.headers().idempotencyKey());
        FailureDomainId home = key.home(domains);
        if (!home.equals(domain)) {
            return forwardHome(x, call, home);
        }
        return runs.run(key, call.hash(), run).flatMap(answer -> answer(x, call, answer, reply));
    }

    private Mono<Void> answer(Exchange x, RawCall call, KeyedAnswer<T> answer, Function<Flux<T>, Mono<Void>> reply) {
        if (answer.owner() == null) {
            return reply.apply(answer.parts().takeUntilOther(deadline(x)));
        }
        RefusalException lost = new RefusalException(
                ProblemType.OUTCOME_UNKNOWN,
                Verdict.MAY_HAVE_RUN,
                "the entry that runs the request cannot be reached",
                COME_BACK);
        NetAddress owner = entries.get(answer.owner());
        return forward(x, call, owner == null ? List.of() : List.of(owner), lost);
    }

    private Mono<Void> forwardHome(Exchange x, RawCall call, FailureDomainId home) {
        RefusalException unreachable = new RefusalException(
                ProblemType.CLAIM_UNAVAILABLE,
                Verdict.NOT_RUN,
                "the failure domain that keeps the key cannot be reached",
                COME_BACK);
        List<NetAddress> addresses = new ArrayList<>(homes.get(home));
        Collections.shuffle(addresses);
        return forward(x, call, addresses, unreachable);
    }

    private Mono<Void> forward(Exchange x, RawCall call, List<NetAddress> addresses, RefusalException unreachable) {
        if (x.headers().hops() >= MOST_HOPS) {
            return Mono.error(unreachable);
        }
        return forwarder
                .forward(call.req(), call.body(), x.headers().hops(), addresses, unreachable, call.res())
                .takeUntilOther(deadline(x));
    }

    private Mono<Void> deadline(Exchange x) {
        long left = Math.max(1, x.deadlineAt() - Ticker.SYSTEM.millis());
        return Mono.delay(Duration.ofMillis(left))
                .then(Mono.error(new RefusalException(
                        ProblemType.DEADLINE_EXCEEDED, Verdict.MAY_HAVE_RUN, "the deadline has passed", COME_BACK)));
    }

    /**
     * A request as it came.
     *
     * @param req the request
     * @param res the reply
     * @param body the body
     */
    public record RawCall(HttpServerRequest req, HttpServerResponse res, byte[] body) {

        /**
         * Hashes what the request asks for.
         *
         * @return the hash of the method, the path and the body
         */
        String hash() {
            byte[] head = (req.method() + " " + req.uri() + "\n").getBytes(StandardCharsets.UTF_8);
            return DigestUtils.sha256Hex(DigestUtils.sha256Hex(head) + DigestUtils.sha256Hex(body));
        }
    }
}
