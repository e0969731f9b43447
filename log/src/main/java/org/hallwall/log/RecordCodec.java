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
import java.util.zip.CRC32C;

/** Encodes the records of a stored file: magic number, length, checksum, content. */
final class RecordCodec {

    static final int MAGIC = 0x4857_4C31;
    static final int HEADER_BYTES = 12;

    private RecordCodec() {}

    static ByteBuffer encode(byte[] content) {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + content.length);
        out.putInt(MAGIC).putInt(content.length).putInt(checksum(content)).put(content);
        return out.flip();
    }

    static int checksum(byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(content, 0, content.length);
        return (int) crc.getValue();
    }
}
