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

/** Encodes and decodes the records of a stored file: magic number, length, checksum, content. */
final class RecordCodec {

    private static final int MAGIC = 0x4857_4C31;
    private static final int HEADER_BYTES = 12;

    private RecordCodec() {}

    static ByteBuffer encode(byte[] content) {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + content.length);
        out.putInt(MAGIC).putInt(content.length).putInt(checksum(content)).put(content);
        return out.flip();
    }

    /**
     * Reads all records up to an incomplete one at the end; an invalid record before a valid one is reported as
     * corruption.
     */
    static ScanResult scan(String file, byte[] bytes) throws LogStoreException {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        List<byte[]> contents = new ArrayList<>();
        int at = 0;
        while (at < bytes.length) {
            byte[] content = read(in, at);
            if (content == null) {
                requireTornTail(file, in, at);
                break;
            }
            contents.add(content);
            at += HEADER_BYTES + content.length;
        }
        return new ScanResult(contents, at);
    }

    private static void requireTornTail(String file, ByteBuffer in, int bad) throws LogStoreException {
        for (int at = bad + 1; at + HEADER_BYTES <= in.limit(); at++) {
            if (in.getInt(at) == MAGIC && read(in, at) != null) {
                throw new LogStoreException(file + " is damaged at byte " + bad + ": a valid record follows at " + at);
            }
        }
    }

    private static byte[] read(ByteBuffer in, int at) {
        if (at + HEADER_BYTES > in.limit() || in.getInt(at) != MAGIC) {
            return null;
        }
        int length = in.getInt(at + 4);
        if (length < 0 || length > in.limit() - at - HEADER_BYTES) {
            return null;
        }
        byte[] content = new byte[length];
        in.get(at + HEADER_BYTES, content);
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
     * @param contents the contents of the records in order
     * @param validLength the length of the valid records in bytes
     */
    record ScanResult(List<byte[]> contents, int validLength) {}
}
