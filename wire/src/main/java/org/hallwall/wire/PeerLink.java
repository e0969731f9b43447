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
package org.hallwall.wire;

import java.io.Closeable;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.core.time.Ticker;
import org.hallwall.core.verdict.Verdict;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Schedulers;
import reactor.netty.Connection;
import reactor.netty.tcp.TcpClient;

/** A client connection to one peer, which is re-established when it is lost. */
public final class PeerLink implements Closeable {

    private static final Logger LOG = Logger.getLogger(PeerLink.class);
    /** The interval between pings of a connected link and between connection attempts of a disconnected one. */
    private static final long PROBE_INTERVAL_MILLIS = 500;
    /** The interval between connection attempts of a new link: all instances may have just started. */
    private static final long INITIAL_PROBE_INTERVAL_MILLIS = 120;
    /** How long the initial interval applies; exceeds the difference between the start times of instances. */
    private static final long INITIAL_PERIOD_MILLIS = 5_000;

    private static final long IDLE_TIMEOUT_MILLIS = 2_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final NetAddress address;
    private final PeerHello hello;
    private final PeerCodec codec;
    private final Map<Long, MonoSink<PeerMessage>> pendingCalls = new ConcurrentHashMap<>();
    private final AtomicLong lastCorrelationId = new AtomicLong();
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong dropped = new AtomicLong();
    private final long createdAt = Ticker.SYSTEM.millis();
    private volatile Connection connection;
    private volatile boolean connecting;
    private volatile boolean closed;
    private volatile long lastReceivedAt;

    /**
     * Creates the link and starts connecting.
     *
     * @param address the address of the peer
     * @param fleet the name of the fleet
     * @param self the id of this process
     * @param codec the codec
     */
    public PeerLink(NetAddress address, String fleet, InstanceId self, PeerCodec codec) {
        this.address = address;
        this.hello = new PeerHello(PeerHello.PROTOCOL, fleet, self);
        this.codec = codec;
        Schedulers.parallel().schedule(this::probe);
    }

    /**
     * Sends a one-way message; it is dropped if the link is down or its buffer is full.
     *
     * @param message the message
     * @return false if it was dropped
     */
    public boolean send(PeerMessage message) {
        return write(new PeerFrame(0, false, message));
    }

    /**
     * Sends a message and waits for the reply.
     *
     * @param message the message
     * @param timeout the maximum time to wait for the reply
     * @return the reply; fails with a {@link PeerException} whose verdict tells whether the peer may have processed the
     *     call
     */
    public Mono<PeerMessage> call(PeerMessage message, Duration timeout) {
        return Mono.defer(() -> {
            long id = lastCorrelationId.incrementAndGet();
            return Mono.<PeerMessage>create(sink -> startCall(id, message, sink))
                    .timeout(timeout)
                    .onErrorMap(
                            TimeoutException.class,
                            e -> new PeerException(Verdict.MAY_HAVE_RUN, "no reply within the timeout"))
                    .doFinally(end -> pendingCalls.remove(id));
        });
    }

    /**
     * Returns whether the link is connected.
     *
     * @return true if there is a connection to the peer
     */
    public boolean isUp() {
        return connection != null;
    }

    /**
     * Returns the traffic counters.
     *
     * @return the traffic since the start
     */
    public PeerTraffic traffic() {
        return new PeerTraffic(sent.get(), sentBytes.get(), dropped.get());
    }

    @Override
    public void close() {
        closed = true;
        closeConnection();
    }

    private void startCall(long id, PeerMessage message, MonoSink<PeerMessage> sink) {
        pendingCalls.put(id, sink);
        if (!write(new PeerFrame(id, false, message))) {
            sink.error(new PeerException(Verdict.NOT_RUN, "not connected to " + address));
        }
    }

    private boolean write(PeerFrame frame) {
        Connection current = connection;
        if (current == null || !current.channel().isWritable()) {
            dropped.incrementAndGet();
            return false;
        }
        ByteBuf bytes = codec.encode(frame);
        sent.incrementAndGet();
        sentBytes.addAndGet(bytes.readableBytes());
        current.channel().writeAndFlush(bytes);
        return true;
    }

    private void scheduleProbe(long millis) {
        // Not cancellable: if this thread is paused here, the next run may already be scheduled by the probe itself,
        // and cancelling that one would stop all reconnection attempts.
        Schedulers.parallel().schedule(this::probe, millis, TimeUnit.MILLISECONDS);
    }

    private void probe() {
        if (closed) {
            return;
        }
        long now = Ticker.SYSTEM.millis();
        scheduleProbe(
                connection == null && now - createdAt < INITIAL_PERIOD_MILLIS
                        ? INITIAL_PROBE_INTERVAL_MILLIS
                        : PROBE_INTERVAL_MILLIS);
        if (connection == null) {
            connect();
        } else if (now - lastReceivedAt > IDLE_TIMEOUT_MILLIS) {
            LOG.infof("wire: closing idle connection to %s", address);
            closeConnection();
        } else {
            write(new PeerFrame(lastCorrelationId.incrementAndGet(), false, new PeerPing(now)));
        }
    }

    private void connect() {
        if (connecting || closed) {
            return;
        }
        connecting = true;
        TcpClient.newConnection()
                .host(address.host())
                .port(address.port())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .connect()
                .subscribe(this::handleConnected, e -> connecting = false);
    }

    private void handleConnected(Connection c) {
        connecting = false;
        if (closed) {
            c.dispose();
            return;
        }
        PeerCodec.addFraming(c);
        lastReceivedAt = Ticker.SYSTEM.millis();
        Channel channel = c.channel();
        c.inbound().receive().doOnNext(this::handleFrame).subscribe(b -> {}, e -> c.dispose());
        c.onDispose(() -> handleDisconnect(c));
        channel.writeAndFlush(codec.encode(new PeerFrame(0, false, hello)));
        connection = c;
    }

    private void handleFrame(ByteBuf bytes) {
        lastReceivedAt = Ticker.SYSTEM.millis();
        try {
            PeerFrame frame = codec.decode(bytes);
            MonoSink<PeerMessage> sink = pendingCalls.remove(frame.correlationId());
            if (sink != null) {
                sink.success(frame.message());
            }
        } catch (IOException e) {
            LOG.warnf("wire: malformed reply from %s: %s", address, e.getMessage());
            closeConnection();
        }
    }

    private void closeConnection() {
        Connection c = connection;
        if (c != null) {
            handleDisconnect(c);
            c.dispose();
        }
    }

    private void handleDisconnect(Connection c) {
        if (connection != c) {
            return;
        }
        connection = null;
        for (Long id : pendingCalls.keySet()) {
            MonoSink<PeerMessage> sink = pendingCalls.remove(id);
            if (sink != null) {
                sink.error(new PeerException(Verdict.MAY_HAVE_RUN, "connection to " + address + " lost"));
            }
        }
    }
}
