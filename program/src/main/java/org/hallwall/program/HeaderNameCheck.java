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

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/**
 * Checks that the names of header fields are tokens. HTTP forbids blanks in and behind names: recipients that read over them in different
 * ways disagree on the length of the message. Sees the bytes before the decoder, which drops blanks.
 */
final class HeaderNameCheck {

    private static final String SEPARATORS = "!#$%&'*+-.^_`|~";

    private boolean inHead = true;
    private boolean startLineRead;

    /** Expects the head of the next message. */
    void startMessage() {
        inHead = true;
        startLineRead = false;
    }

    /** Expects no further head until the message has ended. */
    void endHead() {
        inHead = false;
    }

    /**
     * Reads the complete lines of a head that the decoder is about to consume.
     *
     * @param buffer the bytes from the start of a line, or of a body, which is ignored
     * @return whether all names are valid
     */
    boolean check(ByteBuf buffer) {
        int start = buffer.readerIndex();
        while (inHead) {
            int end = buffer.forEachByte(start, buffer.writerIndex() - start, ByteProcessor.FIND_LF);
            if (end < 0) {
                return true;
            }
            if (!readLine(buffer, start, end)) {
                return false;
            }
            start = end + 1;
        }
        return true;
    }

    private boolean readLine(ByteBuf buffer, int start, int end) {
        boolean empty = end == start || end == start + 1 && buffer.getByte(start) == '\r';
        if (!startLineRead) {
            // a decoder skips empty lines before a message
            startLineRead = !empty;
            return true;
        }
        if (empty) {
            inHead = false;
            return true;
        }
        for (int i = start; i < end; i++) {
            byte b = buffer.getByte(i);
            if (b == ':') {
                return i > start;
            }
            if (!isTokenByte(b)) {
                return false;
            }
        }
        return false;
    }

    private static boolean isTokenByte(byte b) {
        return b >= '0' && b <= '9' || b >= 'A' && b <= 'Z' || b >= 'a' && b <= 'z' || SEPARATORS.indexOf(b) >= 0;
    }
}
