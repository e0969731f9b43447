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

import java.util.Arrays;
import java.util.BitSet;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufHolder;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jboss.logging.Logger;

/** Passes on the response to the request that was sent last on a connection, and no other. Confined to one I/O thread. */
final class CorrelationHandler extends ChannelDuplexHandler {

    private static final Logger LOG = Logger.getLogger(ResponseCorrelation.class);
    /** Maximum number of requests on a connection, which limits the memory for their ids. */
    private static final int MAX_REQUESTS = 1_024;
    /** Maximum number of stale responses that are read before the awaited one. */
    private static final int MAX_STALE_RESPONSES = 8;
    /** Maximum size of stale responses that are read before the awaited one, in bytes; that of one large response. */
    private static final long MAX_STALE_BYTES = 4L * 1024 * 1024;

    /**
     * Maximum size of a request body that counts as read when the server closes the connection, in bytes. The systems of both ends take
     * about as much from the client without its server reading it.
     */
    private static final long MAX_UNREAD_BODY_BYTES = 65_536;

    private static final int MIN_STATUS = 100;
    private static final int INITIAL_IDS = 8;

    private final String idHeader;
    private final CorrelatedResponseDecoder decoder;
    private Part part = Part.NONE;
    private boolean awaiting;
    private boolean closed;
    private boolean discarded;
    private String awaitedId;
    private int staleResponses;
    private long staleBytes;
    private int[] sentIds = new int[INITIAL_IDS];
    private final BitSet headRequests = new BitSet();
    private int requests;
    private long bodyBytes;
    private boolean written;
    private boolean endsWithConnection;

    /** The message whose parts are being read. */
    private enum Part {
        NONE,
        INTERIM_RESPONSE,
        AWAITED_RESPONSE,
        STALE_RESPONSE
    }

    CorrelationHandler(String idHeader, CorrelatedResponseDecoder decoder) {
        this.idHeader = idHeader;
        this.decoder = decoder;
        decoder.setHandler(this);
    }

    /** Returns whether a request with this id was sent; ids of the same hash code are not told apart. */
    boolean hasSent(String id) {
        return indexOf(id) >= 0;
    }

    private int indexOf(String id) {
        int hash = id.hashCode();
        for (int i = 0; i < requests; i++) {
            if (sentIds[i] == hash) {
                return i;
            }
        }
        return -1;
    }

    /** Returns whether a request was sent before the latest one. */
    boolean isReused() {
        return requests > 1;
    }

    /** Returns whether a request was sent and its response has not begun. */
    boolean isUnanswered() {
        return awaiting && part != Part.AWAITED_RESPONSE;
    }

    /** Returns whether a response is awaited. */
    boolean isAwaiting() {
        return awaiting;
    }

    /** Returns whether a message is the response to a HEAD request, which has no content. */
    boolean isResponseToHead(HttpMessage response) {
        int index = isForOtherRequest(response) ? indexOf(response.headers().get(idHeader)) : requests - 1;
        return index >= 0 && headRequests.get(index);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        if (message instanceof HttpRequest r) {
            awaitedId = idHeader == null ? null : r.headers().get(idHeader);
            awaiting = true;
            staleResponses = 0;
            staleBytes = 0;
            bodyBytes = 0;
            written = false;
            recordRequest(r.method());
        }
        if (message instanceof ByteBufHolder h) {
            bodyBytes += h.content().readableBytes();
        } else if (message instanceof ByteBuf b) {
            bodyBytes += b.readableBytes();
        }
        if (message instanceof LastHttpContent) {
            ChannelPromise observed = promise.unvoid();
            observed.addListener(f -> written = f.isSuccess());
            super.write(context, message, observed);
        } else {
            super.write(context, message, promise);
        }
    }

    private void recordRequest(HttpMethod method) {
        if (requests == sentIds.length) {
            sentIds = Arrays.copyOf(sentIds, 2 * requests);
        }
        headRequests.set(requests, HttpMethod.HEAD.equals(method));
        sentIds[requests++] = awaitedId == null ? 0 : awaitedId.hashCode();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (!(message instanceof HttpObject)) {
            super.channelRead(context, message);
            return;
        }
        if (closed) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpResponse r && !startResponse(context, r)) {
            ReferenceCountUtil.release(message);
            return;
        }
        switch (part) {
            case AWAITED_RESPONSE -> readAwaited(context, message);
            case INTERIM_RESPONSE -> readInterim(context, message);
            default -> discard(context, message);
        }
    }

    /** Handles a response head; returns false if the connection was closed because of it. */
    private boolean startResponse(ChannelHandlerContext context, HttpResponse r) {
        int status = r.status().code();
        if (!awaiting) {
            rejectUnsolicited(context);
            return false;
        }
        if (r.decoderResult().isFailure()) {
            part = Part.AWAITED_RESPONSE;
            return true;
        }
        if (status < MIN_STATUS || HttpResponseStatus.SWITCHING_PROTOCOLS.code() == status) {
            fail(context, "the response has the status " + status);
            return false;
        }
        if (idHeader != null && r.headers().getAll(idHeader).size() > 1) {
            fail(context, "the response has several ids");
            return false;
        }
        if (isForOtherRequest(r)) {
            return startStaleResponse(context, r);
        }
        if (r.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            part = Part.INTERIM_RESPONSE;
            return true;
        }
        part = Part.AWAITED_RESPONSE;
        endsWithConnection = endsWithConnection(r);
        if (staleResponses > 0 || requests >= MAX_REQUESTS) {
            // the client does not return the connection to its pool
            r.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return true;
    }

    private boolean isForOtherRequest(HttpMessage response) {
        if (idHeader == null) {
            return false;
        }
        List<String> ids = response.headers().getAll(idHeader);
        return ids.size() == 1 && !ids.get(0).equals(awaitedId);
    }

    private boolean startStaleResponse(ChannelHandlerContext context, HttpResponse r) {
        part = Part.STALE_RESPONSE;
        staleResponses++;
        LOG.infof(
                "request %s: response with status %d to request %s discarded on connection %s to %s",
                awaitedId,
                r.status().code(),
                r.headers().get(idHeader),
                context.channel().id().asShortText(),
                context.channel().remoteAddress());
        if (!hasSent(r.headers().get(idHeader))) {
            fail(context, "the response belongs to a request that was not sent on the connection");
            return false;
        }
        if (endsWithConnection(r)) {
            fail(context, "a response to an earlier request ends with the connection");
            return false;
        }
        if (staleResponses > MAX_STALE_RESPONSES) {
            fail(context, "more than " + MAX_STALE_RESPONSES + " responses belong to earlier requests");
            return false;
        }
        return true;
    }

    private boolean endsWithConnection(HttpResponse r) {
        return !decoder.isContentAlwaysEmpty(r)
                && !HttpUtil.isContentLengthSet(r)
                && !HttpUtil.isTransferEncodingChunked(r);
    }

    /** Returns whether the server may have closed the connection before it had read the request; the response may then be a part. */
    private boolean mayBeUnread() {
        return !written || bodyBytes > MAX_UNREAD_BODY_BYTES;
    }

    private void readAwaited(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof LastHttpContent && endsWithConnection && mayBeUnread()) {
            ReferenceCountUtil.release(message);
            fail(context, "the connection ended, which ends the response, maybe before the request had been read");
            return;
        }
        if (message instanceof LastHttpContent) {
            part = Part.NONE;
            awaiting = false;
            if (decoder.hasUnreadBytes()) {
                // before the response ends, since its end returns an open connection to the pool
                rejectUnsolicited(context);
            }
        }
        super.channelRead(context, message);
    }

    private void readInterim(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof LastHttpContent) {
            part = Part.NONE;
        }
        super.channelRead(context, message);
    }

    private void discard(ChannelHandlerContext context, Object message) {
        boolean malformed = ((HttpObject) message).decoderResult().isFailure();
        if (message instanceof ByteBufHolder h) {
            staleBytes += h.content().readableBytes();
        }
        if (message instanceof LastHttpContent) {
            part = Part.NONE;
        }
        ReferenceCountUtil.release(message);
        discarded = true;
        if (malformed) {
            fail(context, "a response to an earlier request is malformed");
        } else if (staleBytes > MAX_STALE_BYTES) {
            fail(context, "responses of more than " + MAX_STALE_BYTES + " bytes belong to earlier requests");
        }
    }

    /** Closes a connection that has received bytes while no response is awaited. */
    void rejectUnsolicited(ChannelHandlerContext context) {
        if (!closed) {
            LOG.infof(
                    "connection %s to %s closed, received bytes behind the response to request %s",
                    context.channel().id().asShortText(), context.channel().remoteAddress(), awaitedId);
        }
        closed = true;
        context.close();
    }

    /** Fails the request and closes the connection because of a response that cannot be read. */
    void fail(ChannelHandlerContext context, String reason) {
        closed = true;
        awaiting = false;
        context.fireExceptionCaught(new InvalidResponseException(reason));
        context.close();
    }

    /** Also reads without demand from the client: an idle connection, and behind a part that was discarded. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        super.channelReadComplete(context);
        if (discarded || !awaiting) {
            discarded = false;
            context.read();
        }
    }
}
