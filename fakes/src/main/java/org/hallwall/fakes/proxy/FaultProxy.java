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
package org.hallwall.fakes.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.hallwall.core.settings.NetAddress;
import org.jboss.logging.Logger;

/**
 * A TCP proxy for fault injection. Bytes in a cut direction are held back and delivered after {@link #heal()}, as in a
 * transient network partition; {@link #reset()} closes all connections instead.
 */
public final class FaultProxy implements Closeable {

    private static final Logger LOG = Logger.getLogger(FaultProxy.class);
    private static final int BACKLOG = 200;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    private final ServerSocket listener;
    private final NetAddress upstream;
    private final FaultState state = new FaultState();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    /**
     * Starts a proxy on a free loopback port.
     *
     * @param upstream the address to connect to
     * @throws IOException if no port can be bound
     */
    public FaultProxy(NetAddress upstream) throws IOException {
        this.upstream = upstream;
        this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        startThread("proxy-accept", this::acceptConnections);
    }

    /**
     * Returns the listen address of the proxy.
     *
     * @return the address
     */
    public NetAddress address() {
        return new NetAddress("127.0.0.1", listener.getLocalPort());
    }

    /**
     * Delays all subsequent bytes.
     *
     * @param millis the delay; zero for none
     */
    public void delay(long millis) {
        state.setDelay(millis);
    }

    /**
     * Holds back all subsequent bytes of a direction.
     *
     * @param direction the direction
     */
    public void cut(FaultDirection direction) {
        state.setBlocked(direction, true);
    }

    /** Holds back all subsequent bytes of both directions. */
    public void cut() {
        state.setBlocked(FaultDirection.FORWARD, true);
        state.setBlocked(FaultDirection.BACKWARD, true);
    }

    /** Resumes both directions and delivers the bytes that were held back. */
    public void heal() {
        state.setBlocked(FaultDirection.FORWARD, false);
        state.setBlocked(FaultDirection.BACKWARD, false);
    }

    /** Closes all connections. */
    public void reset() {
        for (Socket s : sockets) {
            closeQuietly(s);
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        state.setBlocked(FaultDirection.FORWARD, false);
        state.setBlocked(FaultDirection.BACKWARD, false);
        listener.close();
        reset();
    }

    private void acceptConnections() {
        while (!closed) {
            try {
                Socket from = listener.accept();
                sockets.add(from);
                startThread("proxy-connect", () -> connect(from));
            } catch (IOException e) {
                if (!closed) {
                    LOG.warnf("proxy: cannot accept a connection, %s", e.getMessage());
                }
            }
        }
    }

    private void connect(Socket from) {
        Socket to = new Socket();
        try {
            to.setTcpNoDelay(true);
            from.setTcpNoDelay(true);
            to.connect(new InetSocketAddress(upstream.host(), upstream.port()), CONNECT_TIMEOUT_MILLIS);
            sockets.add(to);
        } catch (IOException e) {
            closeQuietly(from);
            return;
        }
        startThread("proxy-back", () -> pump(to, from, FaultDirection.BACKWARD));
        pump(from, to, FaultDirection.FORWARD);
    }

    private void pump(Socket in, Socket out, FaultDirection direction) {
        byte[] buffer = new byte[16 * 1024];
        try {
            while (true) {
                int count = in.getInputStream().read(buffer);
                state.awaitUnblocked(direction);
                if (count < 0) {
                    break;
                }
                out.getOutputStream().write(buffer, 0, count);
                out.getOutputStream().flush();
            }
        } catch (IOException e) {
            LOG.debugf("proxy: connection closed, %s", e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        closeQuietly(in);
        closeQuietly(out);
    }

    private void closeQuietly(Socket s) {
        sockets.remove(s);
        try {
            s.close();
        } catch (IOException e) {
            LOG.debugf("proxy: cannot close a socket, %s", e.getMessage());
        }
    }

    private static void startThread(String name, Runnable work) {
        Thread t = new Thread(work, name);
        t.setDaemon(true);
        t.start();
    }
}
