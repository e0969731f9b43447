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

/** Accepts connections of peers. */
public final class PeerServer implements Closeable {

    private static final Logger LOG = Logger.getLogger(PeerServer.class);

    /** How long connections may take to close, in milliseconds. */
    private static final long CLOSE_MILLIS = 500;

    private final String fleet;
    private final PeerCodec codec;
    private final PeerHandler handler;
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong received = new AtomicLong();
    private final AtomicLong receivedBytes = new AtomicLong();
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private DisposableServer server;

    /**
     * Creates a server; {@link #open} opens its port.
     *
     * @param fleet the name of the fleet
     * @param codec the codec
     * @param handler handles the messages
     */
    public PeerServer(String fleet, PeerCodec codec, PeerHandler handler) {
        this.fleet = fleet;
        this.codec = codec;
        this.handler = handler;
    }

    /**
     * Opens the port.
     *
     * @param address where to listen
     * @throws IOException if the port cannot be opened
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
            throw new IOException("peer port " + address + " cannot be opened", e);
        }
    }

    /**
     * Gives the port that is open.
     *
     * @return the port
     */
    public int port() {
        return server.port();
    }

    /**
     * Describes the traffic for a dump.
     *
     * @return the traffic since the start
     */
    public PeerTraffic traffic() {
        return new PeerTraffic(received.get(), receivedBytes.get(), refused.get());
    }

    @Override
    public void close() {
        if (server != null) {
            server.channel().close().awaitUninterruptibly(CLOSE_MILLIS);
            connections.close().awaitUninterruptibly(CLOSE_MILLIS);
            server.disposeNow();
        }
    }

    private void accept(Connection connection) {
        PeerCodec.addFraming(connection);
        Session session = new Session(connection.channel());
        connection
                .inbound()
                .receive()
                .doOnNext(session::receive)
                .doFinally(end -> connection.dispose())
                .subscribe(b -> {}, session::fail);
    }

    /** One connection; its sender is known after the hello. */
    private final class Session {

        private final Channel channel;
        private InstanceId peer;

        Session(Channel channel) {
            this.channel = channel;
        }

        void receive(ByteBuf bytes) {
            received.incrementAndGet();
            receivedBytes.addAndGet(bytes.readableBytes());
            try {
                take(codec.decode(bytes));
            } catch (IOException e) {
                refused.incrementAndGet();
                LOG.warnf("wire: closed a connection, %s", e.getMessage());
                channel.close();
            }
        }

        /** A frame over the limit ends up here: its bytes cannot be told from those after it. */
        void fail(Throwable e) {
            refused.incrementAndGet();
            LOG.warnf("wire: closed a connection, %s", e.getMessage());
        }

        private void take(PeerFrame frame) throws IOException {
            PeerMessage message = frame.message();
            if (message instanceof PeerHello hello) {
                greet(hello);
            } else if (peer == null) {
                throw new IOException("no hello before the first message");
            } else if (message instanceof PeerPing) {
                write(new PeerFrame(frame.correlation(), true, message));
            } else {
                handler.handle(peer, message)
                        .subscribe(
                                reply -> write(new PeerFrame(frame.correlation(), true, reply)),
                                e -> LOG.warnf("wire: a message of %s failed, %s", peer, e));
            }
        }

        private void greet(PeerHello hello) throws IOException {
            if (hello.protocol() != PeerHello.PROTOCOL || !fleet.equals(hello.fleet())) {
                throw new IOException("hello of another protocol or fleet");
            }
            peer = hello.from();
        }

        private void write(PeerFrame frame) {
            if (frame.correlation() != 0 && channel.isActive()) {
                channel.writeAndFlush(codec.encode(frame));
            }
        }
    }
}
