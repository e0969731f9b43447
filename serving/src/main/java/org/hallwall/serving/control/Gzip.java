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
package org.hallwall.serving.control;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Compression of configurations, which are large and repetitive. */
public final class Gzip {

    private Gzip() {}

    /**
     * Compresses bytes.
     *
     * @param bytes the bytes
     * @return the compressed bytes
     */
    public static byte[] compress(byte[] bytes) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(bytes.length / 4 + 64);
        try (GZIPOutputStream zip = new GZIPOutputStream(out)) {
            zip.write(bytes);
        } catch (IOException e) {
            throw new IllegalStateException("cannot compress into memory", e);
        }
        return out.toByteArray();
    }

    /**
     * Decompresses bytes.
     *
     * @param compressed the compressed bytes
     * @return the bytes
     * @throws IOException if they are corrupt
     */
    public static byte[] decompress(byte[] compressed) throws IOException {
        try (GZIPInputStream zip = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
            return zip.readAllBytes();
        }
    }
}
