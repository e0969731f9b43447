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

/** A link to one peer: connects, connects again when it breaks, sends messages and makes calls. */
public final class PeerLink implements Closeable {

    private static final Logger LOG = Logger.getLogger(PeerLink.class);
    /** How often a link that is up is probed, and one that is down is tried again, in milliseconds. */
    private static final long PROBE_MILLIS = 500;
    /** How often a new link is tried that has not come up yet, in milliseconds: all instances may have just started. */
    private static final long NEW_PROBE_MILLIS = 120;
    /** How long a link counts as new, in milliseconds: the times that instances take to start differ by less. */
    private static final long NEW_MILLIS = 5_000;

    private static final long SILENCE_MILLIS = 2_000;
    private static final int CONNECT_MILLIS = 1_000;

    private final NetAddress address;
    private final PeerHello hello;
    private final PeerCodec codec;
    private final Map<Long, MonoSink<PeerMessage>> calls = new ConcurrentHashMap<>();
    private final AtomicLong correlations = new AtomicLong();
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong dropped = new AtomicLong();
    private final long createdAt = Ticker.SYSTEM.millis();
    private volatile Connection connection;
    private volatile boolean connecting;
    private volatile boolean closed;
    private volatile long heardAt;

    /**
     * Creates the link and starts to connect.
     *
     * @param address the address of the peer
     * @param fleet the name of the fleet
     * @param self this process
     * @param codec the codec
     */
    public PeerLink(NetAddress address, String fleet, InstanceId self, PeerCodec codec) {
        this.address = address;
        this.hello = new PeerHello(PeerHello.PROTOCOL, fleet, self);
        this.codec = codec;
        Schedulers.parallel().schedule(this::probe);
    }

    /**
     * Sends a one-way message; it is dropped when the link is down or its buffer is full.
     *
     * @param message the message
     * @return false if it was dropped
     */
    public boolean send(PeerMessage message) {
        return write(new PeerFrame(0, false, message));
    }

    /**
     * Makes a call.
     *
     * @param message the message
     * @param timeout how long to wait for the reply
     * @return the reply, or a {@link PeerException} whose verdict says whether the call may have been handled
     */
    public Mono<PeerMessage> call(PeerMessage message, Duration timeout) {
        return Mono.defer(() -> {
            long id = correlations.incrementAndGet();
            return Mono.<PeerMessage>create(sink -> begin(id, message, sink))
                    .timeout(timeout)
                    .onErrorMap(
                            TimeoutException.class, e -> new PeerException(Verdict.MAY_HAVE_RUN, "no reply in time"))
                    .doFinally(end -> calls.remove(id));
        });
    }

    /**
     * Says whether the link is up.
     *
     * @return true if the peer was heard lately
     */
    public boolean isUp() {
        return connection != null;
    }

    /**
     * Describes the traffic for a dump.
     *
     * @return the traffic since the start
     */
    public PeerTraffic traffic() {
        return new PeerTraffic(sent.get(), sentBytes.get(), dropped.get());
    }

    @Override
    public void close() {
        closed = true;
        breakOff();
    }

    private void begin(long id, PeerMessage message, MonoSink<PeerMessage> sink) {
        calls.put(id, sink);
        if (!write(new PeerFrame(id, false, message))) {
            sink.error(new PeerException(Verdict.NOT_RUN, "no link to " + address));
        }
    }

    private boolean write(PeerFrame frame) {
        Connection c = connection;
        if (c == null || !c.channel().isWritable()) {
            dropped.incrementAndGet();
            return false;
        }
        ByteBuf bytes = codec.encode(frame);
        sent.incrementAndGet();
        sentBytes.addAndGet(bytes.readableBytes());
        c.channel().writeAndFlush(bytes);
        return true;
    }

    private void probeAfter(long millis) {
        // not kept to be cancelled: a thread that stands still here would cancel one that was planned meanwhile, and
        // the link stay down for good
        Schedulers.parallel().schedule(this::probe, millis, TimeUnit.MILLISECONDS);
    }

    private void probe() {
        if (closed) {
            return;
        }
        long now = Ticker.SYSTEM.millis();
        probeAfter(connection == null && now - createdAt < NEW_MILLIS ? NEW_PROBE_MILLIS : PROBE_MILLIS);
        if (connection == null) {
            connect();
        } else if (now - heardAt > SILENCE_MILLIS) {
            LOG.infof("wire: the link to %s is silent", address);
            breakOff();
        } else {
            write(new PeerFrame(correlations.incrementAndGet(), false, new PeerPing(now)));
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
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .connect()
                .subscribe(this::connected, e -> connecting = false);
    }

    private void connected(Connection c) {
        connecting = false;
        if (closed) {
            c.dispose();
            return;
        }
        PeerCodec.addFraming(c);
        heardAt = Ticker.SYSTEM.millis();
        Channel channel = c.channel();
        c.inbound().receive().doOnNext(this::receive).subscribe(b -> {}, e -> c.dispose());
        c.onDispose(() -> lost(c));
        channel.writeAndFlush(codec.encode(new PeerFrame(0, false, hello)));
        connection = c;
    }

    private void receive(ByteBuf bytes) {
        heardAt = Ticker.SYSTEM.millis();
        try {
            PeerFrame frame = codec.decode(bytes);
            MonoSink<PeerMessage> sink = calls.remove(frame.correlation());
            if (sink != null) {
                sink.success(frame.message());
            }
        } catch (IOException e) {
            LOG.warnf("wire: a reply of %s is malformed, %s", address, e.getMessage());
            breakOff();
        }
    }

    private void breakOff() {
        Connection c = connection;
        if (c != null) {
            lost(c);
            c.dispose();
        }
    }

    private void lost(Connection c) {
        if (connection != c) {
            return;
        }
        connection = null;
        for (Long id : calls.keySet()) {
            MonoSink<PeerMessage> sink = calls.remove(id);
            if (sink != null) {
                sink.error(new PeerException(Verdict.MAY_HAVE_RUN, "the link to " + address + " broke"));
            }
        }
    }
}
