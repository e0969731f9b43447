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
 * Passes TCP connections on to one address. What a cut direction carries is held back and goes on after the cut, as in a
 * network that lost its path for a while; {@link #reset()} breaks all connections instead.
 */
public final class FaultProxy implements Closeable {

    private static final Logger LOG = Logger.getLogger(FaultProxy.class);
    private static final int BACKLOG = 200;
    private static final int CONNECT_MILLIS = 2_000;

    private final ServerSocket listener;
    private final NetAddress behind;
    private final FaultState state = new FaultState();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    /**
     * Opens a proxy on a free loopback port.
     *
     * @param behind where connections go
     * @throws IOException if no port can be opened
     */
    public FaultProxy(NetAddress behind) throws IOException {
        this.behind = behind;
        this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        start("proxy-accept", this::acceptAll);
    }

    /**
     * Gives the address to connect to.
     *
     * @return the address
     */
    public NetAddress address() {
        return new NetAddress("127.0.0.1", listener.getLocalPort());
    }

    /**
     * Delays all bytes from now on.
     *
     * @param millis the delay; zero for none
     */
    public void delay(long millis) {
        state.delay(millis);
    }

    /**
     * Holds back all bytes of a direction from now on.
     *
     * @param direction the direction
     */
    public void cut(FaultDirection direction) {
        state.cut(direction, true);
    }

    /** Holds back all bytes from now on. */
    public void cut() {
        state.cut(FaultDirection.FORWARD, true);
        state.cut(FaultDirection.BACKWARD, true);
    }

    /** Lets all bytes through again, also those held back. */
    public void heal() {
        state.cut(FaultDirection.FORWARD, false);
        state.cut(FaultDirection.BACKWARD, false);
    }

    /** Breaks all connections. */
    public void reset() {
        for (Socket s : sockets) {
            closeQuietly(s);
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        state.cut(FaultDirection.FORWARD, false);
        state.cut(FaultDirection.BACKWARD, false);
        listener.close();
        reset();
    }

    private void acceptAll() {
        while (!closed) {
            try {
                Socket from = listener.accept();
                sockets.add(from);
                start("proxy-connect", () -> connect(from));
            } catch (IOException e) {
                if (!closed) {
                    LOG.warnf("proxy: a connection was not accepted, %s", e.getMessage());
                }
            }
        }
    }

    private void connect(Socket from) {
        Socket to = new Socket();
        try {
            to.setTcpNoDelay(true);
            from.setTcpNoDelay(true);
            to.connect(new InetSocketAddress(behind.host(), behind.port()), CONNECT_MILLIS);
            sockets.add(to);
        } catch (IOException e) {
            closeQuietly(from);
            return;
        }
        start("proxy-back", () -> pump(to, from, FaultDirection.BACKWARD));
        pump(from, to, FaultDirection.FORWARD);
    }

    private void pump(Socket in, Socket out, FaultDirection direction) {
        byte[] buffer = new byte[16 * 1024];
        try {
            while (true) {
                int n = in.getInputStream().read(buffer);
                state.awaitPassage(direction);
                if (n < 0) {
                    break;
                }
                out.getOutputStream().write(buffer, 0, n);
                out.getOutputStream().flush();
            }
        } catch (IOException e) {
            LOG.debugf("proxy: a connection ended, %s", e.getMessage());
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
            LOG.debugf("proxy: a socket was not closed, %s", e.getMessage());
        }
    }

    private static void start(String name, Runnable work) {
        Thread t = new Thread(work, name);
        t.setDaemon(true);
        t.start();
    }
}
