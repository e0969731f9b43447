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

import java.io.Closeable;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GenericFutureListener;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.program.HttpServerBinder;
import org.hallwall.program.ProgramException;
import org.hallwall.serving.config.RequestKind;
import org.hallwall.serving.crash.CrashWatch;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/** HTTP server that authenticates, routes and relays client requests. */
public final class RelayServer implements Closeable {

    /** Idle timeout of client connections; longer than usual route timeouts. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);
    /**
     * Maximum size of a request head in the decoder, in bytes; the lower limit of the configuration is checked
     * separately.
     */
    private static final int MAX_HEAD_BYTES = 131_072;

    /** Timeout for closing connections at shutdown. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(200);

    /** Time in which the responses to aborted requests are written at shutdown, in milliseconds. */
    private static final long ABORT_TIMEOUT_MILLIS = 200;
    /** Interval between checks of the number of requests in flight during shutdown, in milliseconds. */
    private static final long SHUTDOWN_POLL_MILLIS = 50;

    private final RelayContext context;
    private final BodyMemory bodyMemory;
    private final ResponseWriter writer;
    private final RequestReceiver receiver;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicInteger forwardedInFlight = new AtomicInteger();
    private DisposableServer server;
    private DisposableServer forwardingServer;
    private final OpenExchanges openExchanges = new OpenExchanges();
    private volatile long noticeEndAt;

    /**
     * Creates a server that is not listening yet; see {@link #open}.
     *
     * @param context the shared components
     * @param bodyMemory limits the memory of bodies
     */
    public RelayServer(RelayContext context, BodyMemory bodyMemory) {
        this.context = context;
        this.bodyMemory = bodyMemory;
        this.writer = new ResponseWriter(context);
        this.receiver = new RequestReceiver(context);
    }

    /**
     * Starts listening.
     *
     * @param address the listen address
     * @param loops the I/O threads
     * @throws ProgramException if the port cannot be opened
     */
    public void open(NetAddress address, LoopResources loops) throws ProgramException {
        server = bind(address, loops, false);
    }

    /**
     * Starts listening for requests that other entries forward.
     *
     * @param address the listen address
     * @param loops the I/O threads
     * @throws ProgramException if the port cannot be opened
     */
    public void openForwarding(NetAddress address, LoopResources loops) throws ProgramException {
        forwardingServer = bind(address, loops, true);
    }

    private DisposableServer bind(NetAddress address, LoopResources loops, boolean forwarded) throws ProgramException {
        HttpServer http = HttpServer.create()
                .host(address.host())
                .port(address.port())
                .runOn(loops)
                .idleTimeout(IDLE_TIMEOUT)
                .httpRequestDecoder(spec -> spec.maxHeaderSize(MAX_HEAD_BYTES).maxInitialLineLength(MAX_HEAD_BYTES))
                .handle((req, res) -> handle(req, res, forwarded));
        return HttpServerBinder.bind(http, address);
    }

    /**
     * Returns the port.
     *
     * @return the port
     */
    public int port() {
        return server.port();
    }

    /**
     * Returns the port for requests from other entries.
     *
     * @return the port
     */
    public int forwardingPort() {
        return forwardingServer.port();
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return the number of requests
     */
    public int inFlight() {
        return inFlight.get();
    }

    /** Closes client connections after each response from now on. */
    public void beginDrain() {
        context.shutdown().begin();
    }

    /** Rejects new requests from now on, since they could not complete before the process exits. */
    public void rejectNewRequests() {
        context.shutdown().rejectNewRequests();
    }

    /**
     * Begins the shutdown: client connections are closed after each response, requests that cannot complete are rejected, and after a
     * notice period all new ones.
     *
     * @param noticeMillis how long new requests are accepted, in milliseconds
     * @param timeoutMillis how long requests in flight may take, in milliseconds
     */
    public void beginShutdown(long noticeMillis, long timeoutMillis) {
        long now = context.now();
        noticeEndAt = now + Math.min(noticeMillis, timeoutMillis);
        context.shutdown().begin(now + timeoutMillis);
    }

    /** Waits until the notice period is over and no request is in flight; aborts those that are when the timeout expires. */
    public void completeShutdown() {
        while (context.now() < noticeEndAt) {
            sleep();
        }
        rejectNewRequests();
        awaitIdle(context.shutdown().endAt());
        if (inFlight() > 0) {
            openExchanges.abortAll();
            awaitIdle(context.now() + ABORT_TIMEOUT_MILLIS);
        }
    }

    private void awaitIdle(long until) {
        while (context.now() < until && inFlight() > 0) {
            sleep();
        }
    }

    private static void sleep() {
        try {
            Thread.sleep(SHUTDOWN_POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        if (server != null) {
            server.disposeNow(CLOSE_TIMEOUT);
        }
        if (forwardingServer != null) {
            forwardingServer.disposeNow(CLOSE_TIMEOUT);
        }
    }

    private Publisher<Void> handle(HttpServerRequest req, HttpServerResponse res, boolean forwarded) {
        inFlight.incrementAndGet();
        int forwardedCount = forwarded ? 1 : 0;
        forwardedInFlight.addAndGet(forwardedCount);
        Mono<Void> response;
        try {
            response = relay(
                    req,
                    res,
                    forwarded ? receiver.receiveForwarded(req, forwardedInFlight.get()) : receiver.receive(req));
        } catch (RelayRefusal | RuntimeException | Error e) {
            response = writer.writeError(req, res, e, channel(req));
        }
        return response.doOnCancel(() -> writer.logCancelled(req, res)).doFinally(s -> {
            inFlight.decrementAndGet();
            forwardedInFlight.addAndGet(-forwardedCount);
        });
    }

    private Mono<Void> relay(HttpServerRequest req, HttpServerResponse res, Function<byte[], RelayRequest> toRequest) {
        int maxBodyBytes = context.state().routes().configuration().limits().maxBodyBytes();
        BodyMemory.Reservation memory = bodyMemory.open();
        return readBody(req, maxBodyBytes, memory)
                .flatMap(guarded(body -> rejectIfShuttingDown(toRequest.apply(body))))
                .flatMap(guarded(r -> rejectIfHeldBack(withFeatures(r))))
                .flatMap(guarded(r -> r.route().kind() == RequestKind.STREAM
                        ? relayStream(req, res, r, memory)
                        : relayBuffered(req, res, r, memory)))
                .onErrorResume(e -> writer.writeError(req, res, e, channel(req)))
                .doFinally(s -> memory.release());
    }

    private Mono<byte[]> readBody(HttpServerRequest req, int maxBodyBytes, BodyMemory.Reservation memory) {
        Sinks.Empty<Void> aborted = Sinks.empty();
        EventLoop loop = channel(req).eventLoop();
        return openExchanges.track(
                RequestBody.read(req, maxBodyBytes, memory).takeUntilOther(aborted.asMono()),
                () -> loop.execute(() -> aborted.tryEmitError(Shutdown.refusal())));
    }

    /** Rejects a request that cannot complete. Its body has been read: a connection that is closed with unread bytes is reset. */
    private Mono<RelayRequest> rejectIfShuttingDown(RelayRequest r) {
        try {
            context.shutdown().check(r.route(), r.deadlineAt());
            return Mono.just(r);
        } catch (RelayRefusal e) {
            return Mono.error(e);
        }
    }

    /** Turns each error of a step into an error signal; Reactor itself rethrows errors of the virtual machine. */
    private static <A, B> Function<A, Mono<B>> guarded(Function<A, Mono<B>> step) {
        return a -> {
            try {
                return step.apply(a);
            } catch (RuntimeException | Error e) {
                return Mono.error(ErrorSignals.toSignal(e));
            }
        };
    }

    /** Determines the features of the request if there are crash suspects. */
    private RelayRequest withFeatures(RelayRequest r) {
        CrashWatch crashes = context.crashWatch();
        return crashes.isWatching() ? r.withFeatures(r.computeFeatures(crashes.digester(), context.headerNames())) : r;
    }

    /**
     * Rejects a request that is held back because it, or a part of its prompt, has crashed targets. Retry-After carries the time of the next
     * permitted trial.
     */
    private Mono<RelayRequest> rejectIfHeldBack(RelayRequest r) {
        return context.crashWatch()
                .holdBackMillis(r.features())
                .flatMap(millis -> {
                    context.metrics().countHeldBack(r.service());
                    return Mono.<RelayRequest>error(
                            RelayRefusal.notRun(context.crashWatch().describeHold(r.features()), millis));
                })
                .defaultIfEmpty(r);
    }

    private Mono<Void> relayBuffered(
            HttpServerRequest req, HttpServerResponse res, RelayRequest r, BodyMemory.Reservation memory) {
        if (!isForwardedAtOnce(r)) {
            context.candidates().recordArrival(r);
        }
        BufferedRun run = new BufferedRun(context, r, channel(req).eventLoop(), memory);
        return openExchanges
                .track(run.start().takeUntilOther(whenClosed(req)), run::shutDown)
                .flatMap(guarded(a -> {
                    context.metrics().countResponse(a.status());
                    context.metrics().recordFirstByte(context.now() - r.receivedAt());
                    context.shutdown().recordDuration(r);
                    return writer.writeBuffered(res, a);
                }));
    }

    private Mono<Void> relayStream(
            HttpServerRequest req, HttpServerResponse res, RelayRequest r, BodyMemory.Reservation memory) {
        Channel channel = channel(req);
        AdmissionWindow window;
        try {
            window = isForwardedAtOnce(r) ? AdmissionWindow.unlimited() : admit(r);
        } catch (RelayRefusal e) {
            return Mono.error(e);
        }
        StreamRun run = new StreamRun(
                context,
                r,
                window,
                channel,
                memory,
                r.headers().get(context.headerNames().lastEventId()));
        GenericFutureListener<Future<Void>> onClose = f -> run.cancel();
        channel.closeFuture().addListener(onClose);
        Mono<Void> exchange = run.start().flatMap(guarded(h -> {
            if (h.body() != null) {
                return writer.writeBuffered(res, new BufferedResponse(h.status(), h.headers(), h.body()));
            }
            return writer.writeStream(req, res, h, run.events(), channel)
                    .doOnSuccess(v -> context.shutdown().recordDuration(r));
        }));
        return openExchanges
                .track(exchange, run::shutDown)
                .doOnCancel(run::cancel)
                .doFinally(s -> {
                    context.admission().release(window, r);
                    channel.closeFuture().removeListener(onClose);
                });
    }

    /** Returns whether a request is sent to another entry, which then also admits it. */
    private boolean isForwardedAtOnce(RelayRequest r) {
        return context.forwarder().shouldForward(r, context.candidates().available(r), Set.of(), 0);
    }

    private AdmissionWindow admit(RelayRequest r) throws RelayRefusal {
        CandidateTargets candidates = context.candidates();
        candidates.recordArrival(r);
        List<ServingTarget> targets = candidates.available(r);
        if (targets.isEmpty() && candidates.hasServingTargets(r)) {
            context.admission().recordRefusal(r);
            throw RelayRefusal.notRun(candidates.describe(r), candidates.retryAfterMillis(r));
        }
        boolean permitted = context.balancer().chooseWithFreeSlot(candidates.withRateLimit(targets), Set.of()) != null;
        AdmissionWindow window = context.admission().tryAdmit(r, candidates.withoutRateLimit(targets), permitted);
        if (window == null) {
            throw RelayRefusal.notRun(
                    context.admission().describe(r, targets), RelayContext.OVERLOAD_RETRY_AFTER_MILLIS);
        }
        return window;
    }

    private static Mono<Void> whenClosed(HttpServerRequest req) {
        return Mono.create(sink -> {
            Channel channel = channel(req);
            GenericFutureListener<Future<Void>> onClose = f -> sink.success();
            channel.closeFuture().addListener(onClose);
            sink.onDispose(() -> channel.closeFuture().removeListener(onClose));
        });
    }

    private static Channel channel(HttpServerRequest req) {
        Channel[] out = new Channel[1];
        req.withConnection(c -> out[0] = c.channel());
        return out[0];
    }
}
