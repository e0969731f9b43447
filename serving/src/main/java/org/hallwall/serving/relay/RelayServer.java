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

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GenericFutureListener;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.program.HttpPorts;
import org.hallwall.program.ProgramException;
import org.hallwall.serving.config.RequestKind;
import org.hallwall.serving.config.Route;
import org.hallwall.serving.config.RouteTable;
import org.hallwall.serving.config.WorkspaceKeys;
import org.hallwall.serving.crash.CrashWatch;
import org.jboss.logging.Logger;
import org.reactivestreams.Publisher;
import reactor.core.Exceptions;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/** Takes callers' requests and passes them through: configured, routed, identified, read, run, answered. */
public final class RelayServer implements Closeable {

    private static final Logger LOG = Logger.getLogger(RelayServer.class);
    /** How long a kept connection of a caller rests; above every limit that a configuration is likely to set. */
    private static final Duration IDLE = Duration.ofSeconds(60);
    /** What the decoder takes of a request's head, in bytes; the configuration's lower limit is checked afterwards. */
    private static final int MOST_HEAD_BYTES = 131_072;

    /** How long connections may take to close; what is in progress was finished before. */
    private static final Duration CLOSE = Duration.ofMillis(200);
    /** When a caller retries whom another entry can serve at once, in milliseconds. */
    private static final long ELSEWHERE_MILLIS = 20;

    private final RelayContext context;
    private final FirstConfiguration firstConfiguration;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final RetriedRequests retriedRequests = new RetriedRequests();
    private DisposableServer server;
    private volatile boolean stopping;
    private volatile boolean takingNothing;

    /**
     * Creates the server; {@link #open} opens its port.
     *
     * @param context what the runs of requests share
     */
    public RelayServer(RelayContext context) {
        this.context = context;
        this.firstConfiguration = new FirstConfiguration(
                context.ticker(), () -> ThreadLocalRandom.current().nextDouble());
    }

    /**
     * Opens the port.
     *
     * @param address where callers connect
     * @param loops the I/O threads
     * @throws ProgramException if the port cannot be opened
     */
    public void open(NetAddress address, LoopResources loops) throws ProgramException {
        HttpServer http = HttpServer.create()
                .host(address.host())
                .port(address.port())
                .runOn(loops)
                .idleTimeout(IDLE)
                .httpRequestDecoder(spec -> spec.maxHeaderSize(MOST_HEAD_BYTES).maxInitialLineLength(MOST_HEAD_BYTES))
                .handle(this::handle);
        server = HttpPorts.bind(http, address);
    }

    /**
     * Gives the port.
     *
     * @return the port
     */
    public int port() {
        return server.port();
    }

    /**
     * Counts the requests in progress.
     *
     * @return how many
     */
    public int inFlight() {
        return inFlight.get();
    }

    /** From now on answers tell callers to close their connections. */
    public void beginStop() {
        stopping = true;
    }

    /** From now on requests are refused as not run: they could not be finished before the process ends. */
    public void stopTaking() {
        takingNothing = true;
    }

    @Override
    public void close() {
        if (server != null) {
            server.disposeNow(CLOSE);
        }
    }

    private Publisher<Void> handle(HttpServerRequest req, HttpServerResponse res) {
        inFlight.incrementAndGet();
        if (stopping) {
            res.keepAlive(false);
        }
        Mono<Void> answer;
        try {
            answer = accept(req, res);
        } catch (RelayRefusal e) {
            answer = refuse(req, res, e);
        }
        return answer.doFinally(s -> inFlight.decrementAndGet());
    }

    private Mono<Void> accept(HttpServerRequest req, HttpServerResponse res) throws RelayRefusal {
        if (takingNothing) {
            throw RelayRefusal.notRun("this entry ends", ELSEWHERE_MILLIS);
        }
        RouteTable routes = context.state().routes();
        if (routes.configuration().version() == 0) {
            throw RelayRefusal.notRun("no configuration is known yet", firstConfiguration.retryAfterMillis());
        }
        HttpHeaders headers = req.requestHeaders();
        checkHead(routes, headers, req.uri());
        Route route = routes.route(headers.get(HttpHeaderNames.HOST), req.uri());
        if (route == null) {
            throw new RelayRefusal(404, Verdict.NOT_RUN, "no route takes this path", 0);
        }
        WorkspaceKeys workspace = routes.workspace(headers.get(context.names().key()));
        if (workspace == null && routes.needsKeys() && !route.anonymous()) {
            throw new RelayRefusal(401, Verdict.NOT_RUN, "the key is unknown", 0);
        }
        String attemptId = headers.get(context.names().attemptId());
        if (attemptId == null || attemptId.isEmpty()) {
            throw new RelayRefusal(400, Verdict.NOT_RUN, "the request names no attempt", 0);
        }
        long now = context.now();
        long callersTime = callersTime(headers, route);
        boolean again = retriedRequests.isRetry(route, callersTime);
        long deadlineAt = now + Math.min(route.timeoutMillis(), callersTime);
        int most = routes.configuration().limits().bodyBytes();
        String service = route.service(ThreadLocalRandom.current().nextDouble());
        context.budget().request(service);
        return read(req, most)
                .map(body -> identified(new RelayRequest(
                        attemptId,
                        req.method(),
                        req.uri(),
                        context.headers().request(headers, workspace == null ? null : workspace.name()),
                        body,
                        route,
                        service,
                        headers.get(context.names().model()),
                        workspace == null || workspace.priority() == null ? route.priority() : workspace.priority(),
                        again,
                        null,
                        now,
                        deadlineAt)))
                .flatMap(this::unlessHeldBack)
                .flatMap(r -> route.kind() == RequestKind.STREAM ? stream(req, res, r) : plain(req, res, r))
                .onErrorResume(RelayRefusal.class, e -> refuse(req, res, e));
    }

    /** Digests a request while any is a suspect; otherwise it is not needed. */
    private RelayRequest identified(RelayRequest r) {
        CrashWatch crashes = context.crashes();
        return crashes.isWatching() ? r.with(r.digestBy(crashes.digester(), context.names())) : r;
    }

    /**
     * A request under which targets have ended is refused before it is queued. It has not run, and its caller is told when it may be
     * tried; coming back earlier buys nothing.
     */
    private Mono<RelayRequest> unlessHeldBack(RelayRequest r) {
        return context.crashes()
                .holdBackMillis(r.digest())
                .flatMap(millis -> {
                    context.counters().heldBack(r.service());
                    return Mono.<RelayRequest>error(
                            RelayRefusal.notRun(context.crashes().describe(r.digest()), millis));
                })
                .defaultIfEmpty(r);
    }

    private static void checkHead(RouteTable routes, HttpHeaders headers, String uri) throws RelayRefusal {
        int size = uri.length();
        for (Map.Entry<String, String> h : headers) {
            size += h.getKey().length() + h.getValue().length() + 4;
        }
        if (size > routes.configuration().limits().headerBytes()) {
            throw new RelayRefusal(431, Verdict.NOT_RUN, "the head is too large", 0);
        }
    }

    private long callersTime(HttpHeaders headers, Route route) {
        String text = headers.get(context.names().deadlineMillis());
        if (text == null) {
            return route.timeoutMillis();
        }
        try {
            return Long.parseLong(text.trim());
        } catch (NumberFormatException e) {
            return route.timeoutMillis();
        }
    }

    private static Mono<byte[]> read(HttpServerRequest req, int most) {
        String length = req.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH);
        if (length != null && length.length() > 9 || length != null && Long.parseLong(length) > most) {
            return Mono.error(new RelayRefusal(413, Verdict.NOT_RUN, "the body is too large", 0));
        }
        return req.receive()
                .asByteArray()
                .collect(ByteArrayOutputStream::new, (out, piece) -> {
                    if (out.size() + piece.length > most) {
                        throw Exceptions.propagate(new RelayRefusal(413, Verdict.NOT_RUN, "the body is too large", 0));
                    }
                    out.writeBytes(piece);
                })
                .map(ByteArrayOutputStream::toByteArray)
                .onErrorMap(Exceptions::unwrap);
    }

    private Mono<Void> plain(HttpServerRequest req, HttpServerResponse res, RelayRequest r) {
        context.candidates().arrived(r);
        return new PlainRun(context, r).start().takeUntilOther(closed(req)).flatMap(a -> {
            context.counters().answer(a.status());
            context.counters().first(context.now() - r.receivedAt());
            return whole(res, a);
        });
    }

    private Mono<Void> stream(HttpServerRequest req, HttpServerResponse res, RelayRequest r) {
        Channel channel = channel(req);
        Candidates candidates = context.candidates();
        candidates.arrived(r);
        List<ServingTarget> targets = candidates.of(r);
        if (targets.isEmpty() && candidates.serveLater(r)) {
            context.admission().refuse(r);
            return Mono.error(RelayRefusal.notRun(candidates.describe(r), candidates.retryAfterMillis(r)));
        }
        boolean permitted = context.balancer().chooseWithRoom(candidates.limited(targets), Set.of()) != null;
        AdmissionWindow window = context.admission().enter(r, candidates.unlimited(targets), permitted);
        if (window == null) {
            String reason = context.admission().describe(r, targets);
            return Mono.error(RelayRefusal.notRun(reason, RelayContext.FULL_RETRY_AFTER_MILLIS));
        }
        StreamRun run = new StreamRun(
                context,
                r,
                window,
                channel.eventLoop(),
                r.headers().get(context.names().lastEventId()));
        GenericFutureListener<Future<Void>> left = f -> run.cancel();
        channel.closeFuture().addListener(left);
        return run.start()
                .flatMap(h -> {
                    if (h.body() != null) {
                        return whole(res, new WholeAnswer(h.status(), h.headers(), h.body()));
                    }
                    res.status(h.status());
                    res.headers(copy(res, h.headers()));
                    Flux<ByteBuf> events = run.events().doOnError(e -> channel.close());
                    return res.send(events, b -> true).then();
                })
                .doOnCancel(run::cancel)
                .doFinally(s -> {
                    context.admission().leave(window, r);
                    channel.closeFuture().removeListener(left);
                });
    }

    private static HttpHeaders copy(HttpServerResponse res, HttpHeaders from) {
        HttpHeaders own = res.responseHeaders();
        from.forEach(h -> own.add(h.getKey(), h.getValue()));
        return own;
    }

    private static Mono<Void> whole(HttpServerResponse res, WholeAnswer a) {
        res.status(a.status());
        copy(res, a.headers());
        res.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(a.body().length));
        return res.sendByteArray(Mono.just(a.body())).then();
    }

    private Mono<Void> refuse(HttpServerRequest req, HttpServerResponse res, RelayRefusal e) {
        LOG.infof(
                "request %s: refused with %d, %s: %s (configuration %d)",
                req.requestHeaders().get(context.names().attemptId()),
                e.status(),
                e.verdict(),
                e.getMessage(),
                context.state().routes().configuration().version());
        context.counters().refusal(e.status());
        if (e.retryAfterMillis() > 0) {
            res.header(HttpHeaderNames.RETRY_AFTER, Double.toString(e.retryAfterMillis() / 1_000.0));
        }
        byte[] body = (e.getMessage() + "\n").getBytes(StandardCharsets.UTF_8);
        res.status(e.status());
        res.header(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        res.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
        return res.sendByteArray(Mono.just(body)).then();
    }

    private static Mono<Void> closed(HttpServerRequest req) {
        return Mono.create(sink -> {
            Channel channel = channel(req);
            GenericFutureListener<Future<Void>> left = f -> sink.success();
            channel.closeFuture().addListener(left);
            sink.onDispose(() -> channel.closeFuture().removeListener(left));
        });
    }

    private static Channel channel(HttpServerRequest req) {
        Channel[] out = new Channel[1];
        req.withConnection(c -> out[0] = c.channel());
        return out[0];
    }
}
