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
package org.hallwall.serving.reachability;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.time.Duration;

import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import org.hallwall.core.settings.NetAddress;
import reactor.core.publisher.Mono;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;

/** Opens connections to targets and closes them at once, to find out whether they can be established. */
public final class TargetConnector {

    private final TcpClient client;
    private final AddressTranslator addresses;

    /**
     * Creates a connector.
     *
     * @param loops the I/O threads
     * @param addresses translates the addresses of targets
     */
    public TargetConnector(LoopResources loops, AddressTranslator addresses) {
        this.client = TcpClient.create(ConnectionProvider.newConnection()).runOn(loops);
        this.addresses = addresses;
    }

    /**
     * Opens and closes a connection.
     *
     * @param announced the address that the target has announced
     * @param timeout the maximum time to wait
     * @return the result; never fails
     */
    public Mono<ConnectResult> connect(NetAddress announced, Duration timeout) {
        NetAddress address = addresses.translate(announced);
        return connect(InetSocketAddress.createUnresolved(address.host(), address.port()), timeout);
    }

    /**
     * Opens and closes a connection.
     *
     * @param address the address to connect to
     * @param timeout the maximum time to wait
     * @return the result; never fails
     */
    public Mono<ConnectResult> connect(SocketAddress address, Duration timeout) {
        return client.remoteAddress(() -> address)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeout.toMillis())
                .connect()
                .map(c -> {
                    c.dispose();
                    return ConnectResult.CONNECTED;
                })
                .onErrorResume(e -> Mono.just(isRefused(e) ? ConnectResult.REFUSED : ConnectResult.NO_RESPONSE));
    }

    /**
     * Returns whether an error means that a connection was refused.
     *
     * @param e the error of a connection attempt
     * @return false if nothing has answered
     */
    public static boolean isRefused(Throwable e) {
        return e instanceof ConnectException && !(e instanceof ConnectTimeoutException);
    }
}
