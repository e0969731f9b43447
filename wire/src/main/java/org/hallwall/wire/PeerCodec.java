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

import java.io.IOException;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import reactor.netty.Connection;

/** Encodes and decodes the frames of the peer protocol. */
public final class PeerCodec {

    /** The maximum size of a frame in bytes. */
    public static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;

    private final PeerMessageTypes messageTypes;
    private final ObjectMapper mapper;

    /**
     * Creates the codec.
     *
     * @param messageTypes the supported message types
     */
    public PeerCodec(PeerMessageTypes messageTypes) {
        this.messageTypes = messageTypes;
        this.mapper = new ObjectMapper(new MessagePackFactory());
        this.mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    }

    ByteBuf encode(PeerFrame frame) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(messageTypes.numberOf(frame.message()));
            packer.packLong(frame.correlationId());
            packer.packBoolean(frame.reply());
            packer.writePayload(mapper.writeValueAsBytes(frame.message()));
            return Unpooled.wrappedBuffer(packer.toByteArray());
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode message", e);
        }
    }

    PeerFrame decode(ByteBuf bytes) throws IOException {
        byte[] raw = ByteBufUtil.getBytes(bytes);
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(raw)) {
            int number = unpacker.unpackInt();
            long correlationId = unpacker.unpackLong();
            boolean reply = unpacker.unpackBoolean();
            Class<? extends PeerMessage> type = messageTypes.typeOf(number);
            if (type == null) {
                throw new IOException("unknown message type " + number);
            }
            int bodyOffset = (int) unpacker.getTotalReadBytes();
            return new PeerFrame(
                    correlationId, reply, mapper.readValue(raw, bodyOffset, raw.length - bodyOffset, type));
        } catch (RuntimeException e) {
            throw new IOException("malformed frame: " + e, e);
        }
    }

    static void addFraming(Connection connection) {
        connection.addHandlerLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        connection.addHandlerLast(new LengthFieldPrepender(LENGTH_BYTES));
    }
}
