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

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.program.BoundedBody;
import org.hallwall.program.ConnectionNotReusableException;
import org.hallwall.program.InterimResponses;
import org.hallwall.program.LingeringClose;
import org.hallwall.program.ResponseCorrelation;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/** Sends requests to other entries. A request that cannot have reached a target is reported as not run. */
final class EntryClient {

    /** Entries are near each other; another one is tried after this time. */
    private static final int CONNECT_TIMEOUT_MILLIS = 250;

    private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(10);
    private static final int MAX_CONNECTIONS_PER_ENTRY = 128;
    /** Maximum number of pooled connections per entry that wait until it has read an abandoned request. */
    private static final int MAX_LINGERING_CONNECTIONS = 64;

    private static final int MAX_HEAD_BYTES = 65_536;
    /** Maximum size of the text of a refusal, in bytes. */
    private static final int MAX_REFUSAL_BYTES = 65_536;

    private final HttpClient client;
    private final HeaderNames names;
    private final InstanceId self;
    private final EntryState state;
    private final Ticker ticker;

    /**
     * Creates a client.
     *
     * @param loops the I/O threads
     * @param names the header names
     * @param self this entry
     * @param state the active configuration
     * @param ticker the clock
     */
    EntryClient(LoopResources loops, HeaderNames names, InstanceId self, EntryState state, Ticker ticker) {
        ConnectionProvider pool = ConnectionProvider.builder("entries")
                .maxConnections(MAX_CONNECTIONS_PER_ENTRY)
                .pendingAcquireTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS))
                .maxIdleTime(MAX_IDLE_TIME)
                .lifo()
                .build();
        this.names = names;
        this.client = new LingeringClose(MAX_LINGERING_CONNECTIONS)
                .enable(new ResponseCorrelation(names.attemptId(), MAX_HEAD_BYTES)
                        .enable(InterimResponses.skip(HttpClient.create(pool))))
                .runOn(loops)
                .disableRetry(true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .httpResponseDecoder(spec -> spec.maxHeaderSize(MAX_HEAD_BYTES).maxInitialLineLength(MAX_HEAD_BYTES));
        this.self = self;
        this.state = state;
        this.ticker = ticker;
    }

    /**
     * Sends one attempt.
     *
     * @param hop the attempt
     * @param request the request
     * @param lastEventId the last event that the client has received, or null
     * @param history the attempts before
     * @param reader reads the response of a target
     * @param <T> the type of the result
     * @return the result, or an {@link AttemptFailure}
     */
    <T> Flux<T> send(
            EntryHop hop,
            RelayRequest request,
            String lastEventId,
            RequestHistory history,
            TargetClient.ResponseReader<T> reader) {
        ServingTarget entry = hop.target();
        AtomicBoolean sent = new AtomicBoolean();
        Flux<T> response = client.headers(headers(request, lastEventId, history))
                .request(request.method())
                .uri("http://" + entry.address() + request.uri())
                .send((r, out) -> {
                    Optional<ConnectionNotReusableException> conflict =
                            ResponseCorrelation.findConflict(out, request.attemptId());
                    if (conflict.isPresent()) {
                        return Mono.error(conflict.get());
                    }
                    sent.set(true);
                    out.withConnection(c -> hop.connection().recordSend(c.channel()));
                    r.header(names.deadlineMillis(), Long.toString(request.remainingMillis(ticker.millis())));
                    return out.send(Mono.just(Unpooled.wrappedBuffer(request.body())));
                })
                .response((head, body) -> readResponse(hop, request, head, body, reader));
        return ResponseCorrelation.retryOnOtherConnections(response, sent::get, MAX_CONNECTIONS_PER_ENTRY)
                .onErrorMap(e -> !(e instanceof AttemptFailure), e -> toFailure(entry, e, sent.get()));
    }

    private Consumer<HttpHeaders> headers(RelayRequest request, String lastEventId, RequestHistory history) {
        return h -> {
            h.set(request.headers());
            h.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
            if (lastEventId != null) {
                h.set(names.lastEventId(), lastEventId);
            }
            ForwardHeaders.write(
                    h,
                    new ForwardHeaders.Forwarded(
                            self,
                            request.service(),
                            request.priority(),
                            request.likelyRetry(),
                            history,
                            state.routes().configuration().version()),
                    request.route().maxAttempts());
        };
    }

    private <T> Publisher<T> readResponse(
            EntryHop hop,
            RelayRequest request,
            HttpClientResponse head,
            ByteBufFlux body,
            TargetClient.ResponseReader<T> reader) {
        RequestHistory history = ForwardHeaders.readHistory(head.responseHeaders());
        Verdict refused = ForwardHeaders.readVerdict(head.responseHeaders());
        if (refused != null) {
            hop.recordReport(history);
            long retryAfterMillis =
                    RelayRefusal.parseRetryAfter(head.responseHeaders().get(HttpHeaderNames.RETRY_AFTER));
            return BoundedBody.readText(body, MAX_REFUSAL_BYTES)
                    .flatMapMany(text -> Flux.error(AttemptFailure.refusedByEntry(
                            refused,
                            "entry " + hop.target().instance() + " responded with "
                                    + head.status().code() + ": " + text.trim(),
                            retryAfterMillis)));
        }
        if (!request.attemptId().equals(head.responseHeaders().get(names.attemptId()))) {
            return Flux.error(new AttemptFailure(Verdict.MAY_HAVE_RUN, "the response belongs to another request"));
        }
        hop.recordReport(history);
        return reader.read(head, body);
    }

    private static AttemptFailure toFailure(ServingTarget entry, Throwable e, boolean sent) {
        String reason = "entry " + entry.instance() + ", " + e.getClass().getSimpleName() + ": " + e.getMessage();
        return sent ? new AttemptFailure(Verdict.MAY_HAVE_RUN, reason) : AttemptFailure.notSent(reason);
    }
}
