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
package org.hallwall.entry.forward;

import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import org.hallwall.core.settings.Json;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.Problem;
import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.engine.RunFrame;
import org.hallwall.engine.RunFrameDecoder;
import org.hallwall.entry.EntrySettings;
import org.hallwall.entry.exchange.Exchange;
import org.hallwall.entry.relay.CrossDomainRunner;
import org.hallwall.program.InterimResponses;
import org.hallwall.program.ResponseCorrelation;
import org.hallwall.program.SingleUseConnections;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/** Runs requests in other failure domains, trying their entries in order until a domain has a complete group. */
public final class RemoteRunClient implements CrossDomainRunner {

    private static final int CONNECT_TIMEOUT_MILLIS = 300;
    /** The maximum number of concurrent requests to one entry. */
    private static final int MAX_CONNECTIONS = 500;

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final List<EntrySettings.OtherDomain> domains;
    private final HttpClient http;

    /**
     * Creates the client.
     *
     * @param domains the other failure domains
     */
    public RemoteRunClient(List<EntrySettings.OtherDomain> domains) {
        this.domains = domains;
        this.http = ResponseCorrelation.withoutIds()
                .enable(InterimResponses.skip(HttpClient.create(SingleUseConnections.builder("remote runs")
                        .maxConnections(MAX_CONNECTIONS)
                        .build())))
                .keepAlive(false)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .disableRetry(true);
    }

    @Override
    public Flux<List<RunFrame>> run(Exchange x, RefusalException localRefusal) {
        if (x.headers().hops() > 0 || domains.isEmpty()) {
            return Flux.error(localRefusal);
        }
        List<NetAddress> addresses = new ArrayList<>();
        for (EntrySettings.OtherDomain d : domains) {
            List<EntrySettings.OtherEntry> entries = new ArrayList<>(d.entries());
            Collections.shuffle(entries);
            entries.forEach(e -> addresses.add(e.targets()));
        }
        return tryAddress(x, addresses, 0, localRefusal);
    }

    /** Tries the next address only if the refusal states that the request did not run. */
    private Flux<List<RunFrame>> tryAddress(
            Exchange x, List<NetAddress> addresses, int index, RefusalException localRefusal) {
        if (index == addresses.size()) {
            return Flux.error(localRefusal);
        }
        return runAt(x, addresses.get(index)).onErrorResume(RefusalException.class, e -> {
            boolean tryNext = e.verdict() == Verdict.NOT_RUN
                    && (e.type() == ProblemType.NO_COMPLETE_GROUP || e.type() == ProblemType.TARGET_UNREACHABLE);
            return tryNext ? tryAddress(x, addresses, index + 1, localRefusal) : Flux.error(e);
        });
    }

    private Flux<List<RunFrame>> runAt(Exchange x, NetAddress address) {
        RemoteRunRequest run = new RemoteRunRequest(
                x.workspace(),
                x.modelGroup(),
                x.adapter(),
                x.chat(),
                x.headers().priority(),
                x.isRepeatable(),
                Math.max(1, x.deadlineAt() - Ticker.SYSTEM.millis()));
        x.markDispatched();
        return http.headers(h -> h.set("Content-Type", "application/json"))
                .post()
                .uri("http://" + address + RemoteRunRequest.PATH)
                .send(Mono.fromCallable(() -> Unpooled.wrappedBuffer(Json.MAPPER.writeValueAsBytes(run))))
                .response(RemoteRunClient::decodeResponse)
                .onErrorMap(e -> !(e instanceof RefusalException), RemoteRunClient::toRefusal);
    }

    private static Flux<List<RunFrame>> decodeResponse(HttpClientResponse res, ByteBufFlux bytes) {
        if (res.status().code() != 200) {
            return bytes.aggregate()
                    .asByteArray()
                    .defaultIfEmpty(new byte[0])
                    .flux()
                    .flatMap(b -> Flux.error(parseRefusal(b)));
        }
        RunFrameDecoder decoder = new RunFrameDecoder();
        boolean[] ended = {false};
        return bytes.<List<RunFrame>>handle((b, sink) -> {
                    try {
                        List<RunFrame> batch = decoder.decode(b);
                        if (!batch.isEmpty()) {
                            ended[0] = batch.get(batch.size() - 1).end() != null;
                            sink.next(batch);
                        }
                    } catch (IOException e) {
                        sink.error(e);
                    }
                })
                .concatWith(Flux.defer(
                        () -> ended[0] ? Flux.empty() : Flux.error(new IOException("the response has no end frame"))));
    }

    private static RefusalException parseRefusal(byte[] body) {
        try {
            Problem p = Json.MAPPER.readValue(body, Problem.class);
            return new RefusalException(ProblemType.fromSlug(p.type()), p.verdict(), p.detail(), RETRY_AFTER);
        } catch (IOException | IllegalArgumentException e) {
            return new RefusalException(
                    ProblemType.TARGET_FAILED,
                    Verdict.MAY_HAVE_RUN,
                    "an entry of another failure domain sent an invalid error response",
                    RETRY_AFTER);
        }
    }

    private static RefusalException toRefusal(Throwable e) {
        boolean connectFailed = e instanceof ConnectException || e instanceof ConnectTimeoutException;
        return new RefusalException(
                connectFailed ? ProblemType.TARGET_UNREACHABLE : ProblemType.TARGET_FAILED,
                connectFailed ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
                "the connection to another failure domain failed",
                RETRY_AFTER);
    }
}
