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
package org.hallwall.log;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/** The records of a stored file: a mark, a length, a checksum, the content. */
final class LogRecords {

    private static final int MARK = 0x4857_4C31;
    private static final int HEADER = 12;

    private LogRecords() {}

    static ByteBuffer encode(byte[] content) {
        ByteBuffer out = ByteBuffer.allocate(HEADER + content.length);
        out.putInt(MARK).putInt(content.length).putInt(checksum(content)).put(content);
        return out.flip();
    }

    /** Reads all records and stops at a torn tail; a bad record with a good one behind it is damage. */
    static Scan scan(String file, byte[] bytes) throws LogStoreException {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        List<byte[]> contents = new ArrayList<>();
        int at = 0;
        while (at < bytes.length) {
            byte[] content = read(in, at);
            if (content == null) {
                requireTail(file, in, at);
                break;
            }
            contents.add(content);
            at += HEADER + content.length;
        }
        return new Scan(contents, at);
    }

    private static void requireTail(String file, ByteBuffer in, int bad) throws LogStoreException {
        for (int at = bad + 1; at + HEADER <= in.limit(); at++) {
            if (in.getInt(at) == MARK && read(in, at) != null) {
                throw new LogStoreException(file + " is damaged at byte " + bad + ": a good record follows at " + at);
            }
        }
    }

    private static byte[] read(ByteBuffer in, int at) {
        if (at + HEADER > in.limit() || in.getInt(at) != MARK) {
            return null;
        }
        int length = in.getInt(at + 4);
        if (length < 0 || length > in.limit() - at - HEADER) {
            return null;
        }
        byte[] content = new byte[length];
        in.get(at + HEADER, content);
        return checksum(content) == in.getInt(at + 8) ? content : null;
    }

    private static int checksum(byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(content, 0, content.length);
        return (int) crc.getValue();
    }

    /**
     * The records of a file.
     *
     * @param contents the contents in order
     * @param end where the good records end
     */
    record Scan(List<byte[]> contents, int end) {}
}
