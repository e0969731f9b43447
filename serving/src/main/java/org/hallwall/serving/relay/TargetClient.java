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

import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.serving.availability.NoticeReader;
import org.hallwall.serving.availability.TargetAvailability;
import org.hallwall.serving.availability.TargetNotice;
import org.hallwall.serving.target.StartedTarget;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;

/** Sends attempts to targets over kept connections. */
public final class TargetClient {

    /** How long a connection may take to come up; a dropped opening packet is sent again only after a second. */
    private static final int CONNECT_MILLIS = 350;
    /** How long a kept connection rests; below the few seconds after which targets close theirs. */
    private static final Duration MOST_IDLE = Duration.ofSeconds(4);
    /** Kept connections to one target; above its slots. */
    private static final int MOST_CONNECTIONS = 64;
    /** The largest head of an answer, in bytes. */
    private static final int MOST_HEAD_BYTES = 65_536;

    /** The status by which a target says that it is not the one that the request names. */
    private static final int MISDIRECTED = 421;

    private static final long NOT_SENT = Long.MIN_VALUE;

    private final HttpClient client;
    private final TcpClient knocker;
    private final HeaderNames names;
    private final NoticeReader notices;
    private final TargetAvailability availability;
    private final Ticker ticker;

    /**
     * Creates a client.
     *
     * @param loops the I/O threads
     * @param names the names of the headers that the relay sets
     * @param availability which targets are available
     * @param ticker the clock
     */
    public TargetClient(LoopResources loops, HeaderNames names, TargetAvailability availability, Ticker ticker) {
        ConnectionProvider pool = ConnectionProvider.builder("targets")
                .maxConnections(MOST_CONNECTIONS)
                .pendingAcquireTimeout(Duration.ofMillis(CONNECT_MILLIS))
                .maxIdleTime(MOST_IDLE)
                .lifo()
                .build();
        this.client = HttpClient.create(pool)
                .runOn(loops)
                .disableRetry(true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .httpResponseDecoder(spec -> spec.maxHeaderSize(MOST_HEAD_BYTES).maxInitialLineLength(MOST_HEAD_BYTES));
        this.knocker = TcpClient.create(ConnectionProvider.newConnection())
                .runOn(loops)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS);
        this.names = names;
        this.notices = new NoticeReader(names.leaving(), names.answeredBy(), names.rateLimit());
        this.availability = availability;
        this.ticker = ticker;
    }

    /**
     * Asks by a new connection, which is closed at once, whether nothing listens where a target was.
     *
     * @param target the start of the target
     * @param address its address
     * @return true if the connection is refused; false if it comes up, nobody says a word, or the target backs off and was not asked
     */
    Mono<Boolean> refuses(InstanceId target, NetAddress address) {
        if (availability.isBackingOff(target)) {
            return Mono.just(false);
        }
        return knocker.host(address.host())
                .port(address.port())
                .connect()
                .map(c -> {
                    c.dispose();
                    return false;
                })
                .onErrorResume(e -> Mono.just(isRefusal(e)));
    }

    /**
     * Sends one attempt, if the target is still available when a connection is there.
     *
     * @param target the target
     * @param request the request
     * @param lastEventId the last event that the caller has of this answer, or null
     * @param remainingMillis the time that is left, in milliseconds
     * @param answer takes the head of the answer and its body; an error that it gives is passed on
     * @param <T> what the answer is turned into
     * @return what the answer was turned into, or an {@link AttemptFailure}
     */
    <T> Flux<T> send(
            ServingTarget target,
            RelayRequest request,
            String lastEventId,
            long remainingMillis,
            AnswerReader<T> answer) {
        AtomicLong sentAt = new AtomicLong(NOT_SENT);
        return client.headers(headers(target, request, lastEventId, remainingMillis))
                .request(request.method())
                .uri("http://" + target.address() + request.uri())
                .send((r, out) -> {
                    // others may have been answered while this one waited for its connection
                    if (!availability.tryRequest(target.instance())) {
                        return Mono.error(AttemptFailure.unavailable("it is not available now"));
                    }
                    sentAt.set(ticker.millis());
                    return out.send(Mono.just(Unpooled.wrappedBuffer(request.body())));
                })
                .response((head, body) -> read(target, request, sentAt.get(), head, body, answer))
                .onErrorMap(e -> !(e instanceof AttemptFailure), e -> failure(e, sentAt.get() != NOT_SENT));
    }

    private Consumer<HttpHeaders> headers(
            ServingTarget target, RelayRequest request, String lastEventId, long remainingMillis) {
        return h -> {
            h.set(request.headers());
            h.set(names.expectedTarget(), StartedTarget.name(target.instance()));
            h.set(names.deadlineMillis(), Math.max(1, remainingMillis));
            h.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
            if (lastEventId != null) {
                h.set(names.lastEventId(), lastEventId);
            }
        };
    }

    private <T> Publisher<T> read(
            ServingTarget target,
            RelayRequest request,
            long sentAt,
            HttpClientResponse head,
            ByteBufFlux body,
            AnswerReader<T> answer) {
        int status = head.status().code();
        TargetNotice notice = notices.read(target.instance(), status, head.responseHeaders());
        String echoed = head.responseHeaders().get(names.attemptId());
        boolean own = request.attemptId().equals(echoed) && status != MISDIRECTED;
        if (own) {
            availability.takeAnswer(target.instance(), notice, sentAt);
        } else {
            availability.take(target.instance(), notice);
        }
        if (echoed != null && !echoed.equals(request.attemptId())) {
            return Flux.error(new AttemptFailure(Verdict.MAY_HAVE_RUN, "an answer to another request came"));
        }
        if (status == MISDIRECTED) {
            return Flux.error(AttemptFailure.misdirected("another target answered, status " + status));
        }
        if (head.responseHeaders().contains(names.notRun())) {
            String reason = "the target did not run it, status " + status + notice.describe();
            return Flux.error(new AttemptFailure(Verdict.NOT_RUN, reason));
        }
        if (echoed == null) {
            return Flux.error(new AttemptFailure(Verdict.MAY_HAVE_RUN, "an answer names no request"));
        }
        return answer.read(head, body);
    }

    private static boolean isRefusal(Throwable e) {
        return e instanceof ConnectException && !(e instanceof ConnectTimeoutException);
    }

    private static AttemptFailure failure(Throwable e, boolean sent) {
        String reason = e.getClass().getSimpleName() + ": " + e.getMessage();
        if (!sent) {
            return isRefusal(e) ? AttemptFailure.nobodyThere(reason) : AttemptFailure.notSent(reason);
        }
        // bytes that are no answer come from a target that lives, or that will be seen to have ended by the next
        // connection
        return e instanceof IOException
                ? AttemptFailure.brokenOff(reason)
                : new AttemptFailure(Verdict.MAY_HAVE_RUN, reason);
    }

    /**
     * Reads an answer.
     *
     * @param <T> what the answer is turned into
     */
    @FunctionalInterface
    interface AnswerReader<T> {

        /**
         * Reads an answer.
         *
         * @param head the head
         * @param body the body
         * @return what it is turned into
         */
        Publisher<T> read(HttpClientResponse head, ByteBufFlux body);
    }
}
