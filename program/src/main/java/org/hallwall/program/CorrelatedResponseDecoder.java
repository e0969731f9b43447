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

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/** Decodes the responses on a client connection and rejects bytes that arrive while no response is awaited. */
final class CorrelatedResponseDecoder extends HttpResponseDecoder {

    private final HeaderNameCheck names = new HeaderNameCheck();
    private CorrelationHandler handler;

    CorrelatedResponseDecoder(int maxHeadBytes) {
        super(new HttpDecoderConfig().setMaxInitialLineLength(maxHeadBytes).setMaxHeaderSize(maxHeadBytes));
    }

    void setHandler(CorrelationHandler newHandler) {
        handler = newHandler;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (handler.isAwaiting()) {
            super.channelRead(context, message);
        } else {
            ReferenceCountUtil.release(message);
            handler.rejectUnsolicited(context);
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        int before = out.size();
        if (!names.check(buffer)) {
            buffer.skipBytes(buffer.readableBytes());
            handler.fail(context, "the response has a field name with a blank or an invalid byte");
            return;
        }
        super.decode(context, buffer, out);
        for (Object message : out.subList(before, out.size())) {
            if (message instanceof LastHttpContent) {
                names.startMessage();
            } else if (message instanceof HttpResponse) {
                names.endHead();
            }
        }
    }

    /** Returns whether bytes behind the last decoded message have been received. */
    boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return handler.isResponseToHead(message) || super.isContentAlwaysEmpty(message);
    }
}
