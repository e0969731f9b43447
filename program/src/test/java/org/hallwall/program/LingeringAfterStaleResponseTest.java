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
package org.hallwall.program;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Guards against a stale response that counts as evidence that the peer has read the request sent after it. */
class LingeringAfterStaleResponseTest {

    private static String ok(String id) {
        return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
    }

    private static void readRequest(Socket s) throws IOException {
        InputStream in = s.getInputStream();
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            text.append((char) in.read());
        }
    }

    @Test
    void connectionLingersAfterAStaleResponse() throws Exception {
        ConnectionProvider pool =
                ConnectionProvider.builder("test").maxConnections(2).build();
        try (ServerSocket server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress())) {
            CountDownLatch stale = new CountDownLatch(1);
            AtomicBoolean staleIsSent = new AtomicBoolean();
            HttpClient client = new LingeringClose(4)
                    .enable(new ResponseCorrelation("X-Id", 65_536)
                            .enable(InterimResponses.skip(HttpClient.create(pool))))
                    .doOnChannelInit((o, ch, a) -> ch.pipeline().addFirst(new ChannelInboundHandlerAdapter() {
                        @Override
                        public void channelReadComplete(ChannelHandlerContext c) {
                            c.fireChannelReadComplete();
                            if (staleIsSent.get()) {
                                stale.countDown();
                            }
                        }
                    }))
                    .baseUrl("http://127.0.0.1:" + server.getLocalPort());
            CompletableFuture<Integer> first = client.headers(h -> h.set("X-Id", "1"))
                    .get()
                    .uri("/")
                    .responseSingle((r, body) -> body.asString()
                            .defaultIfEmpty("")
                            .thenReturn(r.status().code()))
                    .toFuture();
            try (Socket s = server.accept()) {
                readRequest(s);
                s.getOutputStream().write(ok("1").getBytes(StandardCharsets.US_ASCII));
                Assertions.assertEquals(200, first.get(5, TimeUnit.SECONDS));
                CompletableFuture<Channel> sent = new CompletableFuture<>();
                Disposable second = client.headers(h -> h.set("X-Id", "2"))
                        .post()
                        .uri("/")
                        .send((r, out) -> {
                            out.withConnection(c -> sent.complete(c.channel()));
                            return out.send(Mono.just(Unpooled.wrappedBuffer(new byte[1])));
                        })
                        .response()
                        .subscribe(r -> {}, e -> {});
                Channel channel = sent.get(5, TimeUnit.SECONDS);
                Assertions.assertEquals('P', s.getInputStream().read());
                staleIsSent.set(true);
                s.getOutputStream().write(ok("1").getBytes(StandardCharsets.US_ASCII));
                Assertions.assertTrue(stale.await(5, TimeUnit.SECONDS));
                second.dispose();
                Assertions.assertFalse(
                        channel.closeFuture().await(500, TimeUnit.MILLISECONDS),
                        "closed although the peer has not responded to the request");
            }
        } finally {
            pool.disposeLater().block(Duration.ofSeconds(5));
        }
    }
}
