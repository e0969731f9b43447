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

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClient;

/** Makes an HTTP client skip the interim responses that may precede a final one, see RFC 9110, section 15.2. */
public final class InterimResponses {

    private static final String HANDLER = "interimResponses";

    private InterimResponses() {}

    /**
     * Configures a client to skip interim responses. Without this, the client takes the first one other than 100 for the final response.
     *
     * @param client the client, which uses HTTP/1.1
     * @return the configured client
     */
    public static HttpClient skip(HttpClient client) {
        return client.doOnChannelInit((observer, channel, address) ->
                channel.pipeline().addAfter(NettyPipeline.HttpCodec, HANDLER, new SkippingHandler()));
    }

    private static final class SkippingHandler extends ChannelInboundHandlerAdapter {

        private boolean skipping;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (message instanceof HttpResponse r) {
                skipping = isSkipped(r.status());
            }
            boolean skipped = skipping && message instanceof HttpObject;
            if (skipped && message instanceof LastHttpContent) {
                skipping = false;
            }
            if (skipped) {
                ReferenceCountUtil.release(message);
                context.read();
            } else {
                super.channelRead(context, message);
            }
        }

        /** The client handles 100 itself. After 101 the connection no longer uses HTTP. */
        private static boolean isSkipped(HttpResponseStatus status) {
            return status.codeClass() == HttpStatusClass.INFORMATIONAL
                    && !HttpResponseStatus.CONTINUE.equals(status)
                    && !HttpResponseStatus.SWITCHING_PROTOCOLS.equals(status);
        }
    }
}
