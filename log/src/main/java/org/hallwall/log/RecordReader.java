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

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Reads the records of a stored file one at a time. */
final class RecordReader implements Closeable {

    private final String file;
    private final FileChannel channel;
    private final long length;
    private long validLength;

    RecordReader(Path directory, String file) throws IOException {
        this.file = file;
        this.channel = FileChannel.open(directory.resolve(file), StandardOpenOption.READ);
        this.length = channel.size();
    }

    /**
     * Reads the next record. An incomplete record at the end of the file ends the reading.
     *
     * @return the content of the record; null after the last one
     * @throws LogStoreException if an invalid record precedes a valid one
     * @throws IOException if the file cannot be read
     */
    byte[] next() throws IOException {
        byte[] content = read(validLength);
        if (content == null) {
            requireTornTail();
            return null;
        }
        validLength += RecordCodec.HEADER_BYTES + content.length;
        return content;
    }

    /** Returns the length of the records read so far in bytes. */
    long validLength() {
        return validLength;
    }

    /** Returns the length of the file in bytes. */
    long length() {
        return length;
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }

    private void requireTornTail() throws IOException {
        long end = length - RecordCodec.HEADER_BYTES;
        if (validLength + 1 > end) {
            return;
        }
        channel.position(validLength + 1);
        // Not closed, since that would close the channel.
        InputStream in = new BufferedInputStream(Channels.newInputStream(channel));
        int word = new DataInputStream(in).readInt();
        for (long at = validLength + 1; at <= end; at++) {
            if (word == RecordCodec.MAGIC && read(at) != null) {
                throw new LogStoreException(
                        file + " is damaged at byte " + validLength + ": a valid record follows at " + at);
            }
            word = word << Byte.SIZE | in.read();
        }
    }

    private byte[] read(long at) throws IOException {
        if (at + RecordCodec.HEADER_BYTES > length) {
            return null;
        }
        ByteBuffer header = readFully(at, RecordCodec.HEADER_BYTES);
        if (header.getInt() != RecordCodec.MAGIC) {
            return null;
        }
        int contentLength = header.getInt();
        if (contentLength < 0 || contentLength > length - at - RecordCodec.HEADER_BYTES) {
            return null;
        }
        byte[] content = readFully(at + RecordCodec.HEADER_BYTES, contentLength).array();
        return RecordCodec.checksum(content) == header.getInt() ? content : null;
    }

    private ByteBuffer readFully(long at, int count) throws IOException {
        ByteBuffer out = ByteBuffer.allocate(count);
        while (out.hasRemaining()) {
            if (channel.read(out, at + out.position()) < 0) {
                throw new LogStoreException(file + " became shorter while it was read");
            }
        }
        return out.flip();
    }
}
