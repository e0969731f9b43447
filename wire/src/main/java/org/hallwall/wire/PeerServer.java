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
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.jboss.logging.Logger;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpServer;

/** Accepts connections from peers. */
public final class PeerServer implements Closeable {

    private static final Logger LOG = Logger.getLogger(PeerServer.class);

    /** The maximum time to wait for connections to close. */
    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private final String fleet;
    private final PeerCodec codec;
    private final PeerHandler handler;
    private final AtomicLong rejected = new AtomicLong();
    private final AtomicLong received = new AtomicLong();
    private final AtomicLong receivedBytes = new AtomicLong();
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private DisposableServer server;

    /**
     * Creates a server; {@link #open} binds its port.
     *
     * @param fleet the name of the fleet
     * @param codec the codec
     * @param handler handles received messages
     */
    public PeerServer(String fleet, PeerCodec codec, PeerHandler handler) {
        this.fleet = fleet;
        this.codec = codec;
        this.handler = handler;
    }

    /**
     * Binds the port.
     *
     * @param address the address to listen on
     * @throws IOException if the port cannot be bound
     */
    public void open(NetAddress address) throws IOException {
        try {
            server = TcpServer.create()
                    .host(address.host())
                    .port(address.port())
                    .channelGroup(connections)
                    .doOnConnection(this::accept)
                    .bindNow();
        } catch (RuntimeException e) {
            throw new IOException("cannot bind peer port " + address, e);
        }
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the port
     */
    public int port() {
        return server.port();
    }

    /**
     * Returns the traffic counters.
     *
     * @return the traffic since the start
     */
    public PeerTraffic traffic() {
        return new PeerTraffic(received.get(), receivedBytes.get(), rejected.get());
    }

    @Override
    public void close() {
        if (server != null) {
            server.channel().close().awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
            connections.close().awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
            server.disposeNow();
        }
    }

    private void accept(Connection connection) {
        PeerCodec.addFraming(connection);
        Session session = new Session(connection.channel());
        connection
                .inbound()
                .receive()
                .doOnNext(session::handleFrame)
                .doFinally(end -> connection.dispose())
                .subscribe(b -> {}, session::handleError);
    }

    /** A connection; its peer is known after the handshake. */
    private final class Session {

        private final Channel channel;
        private InstanceId peer;

        Session(Channel channel) {
            this.channel = channel;
        }

        void handleFrame(ByteBuf bytes) {
            received.incrementAndGet();
            receivedBytes.addAndGet(bytes.readableBytes());
            try {
                dispatch(codec.decode(bytes));
            } catch (IOException e) {
                rejected.incrementAndGet();
                LOG.warnf("wire: closed a connection: %s", e.getMessage());
                channel.close();
            }
        }

        /** Handles errors of the inbound stream, such as a frame above the size limit. */
        void handleError(Throwable e) {
            rejected.incrementAndGet();
            LOG.warnf("wire: closed a connection: %s", e.getMessage());
        }

        private void dispatch(PeerFrame frame) throws IOException {
            PeerMessage message = frame.message();
            if (message instanceof PeerHello hello) {
                handleHello(hello);
            } else if (peer == null) {
                throw new IOException("the first message is not a handshake");
            } else if (message instanceof PeerPing) {
                write(new PeerFrame(frame.correlationId(), true, message));
            } else {
                handler.handle(peer, message)
                        .subscribe(
                                reply -> write(new PeerFrame(frame.correlationId(), true, reply)),
                                e -> LOG.warnf("wire: handling a message from %s failed: %s", peer, e));
            }
        }

        private void handleHello(PeerHello hello) throws IOException {
            if (hello.protocol() != PeerHello.PROTOCOL || !fleet.equals(hello.fleet())) {
                throw new IOException("handshake for another protocol version or fleet");
            }
            peer = hello.from();
        }

        private void write(PeerFrame frame) {
            if (frame.correlationId() != 0 && channel.isActive()) {
                channel.writeAndFlush(codec.encode(frame));
            }
        }
    }
}
