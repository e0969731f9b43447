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
package org.hallwall.serving.crash;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;

import org.apache.commons.codec.digest.Blake3;

/**
 * Makes the digests of requests, under a key that all processes of a system share.
 *
 * <p>The key keeps a reader of the logs from finding out by trial what a caller has sent. The workspace is part of what is
 * digested, so that no request of one workspace is ever taken for that of another.
 */
public final class RequestDigester {

    /** The length of a key, in bytes, as BLAKE3 asks for. */
    public static final int KEY_BYTES = 32;

    /** The length of a digest, in bytes: with 2^32 requests the chance that any two of them share one is below 2^-64. */
    private static final int DIGEST_BYTES = 16;

    private final byte[] key;

    /**
     * Creates a digester.
     *
     * @param key the key, {@value #KEY_BYTES} bytes
     */
    public RequestDigester(byte[] key) {
        if (key.length != KEY_BYTES) {
            throw new IllegalArgumentException("a key has " + KEY_BYTES + " bytes");
        }
        this.key = key.clone();
    }

    /**
     * Digests a request.
     *
     * @param workspace the caller's workspace, or null
     * @param host the host that the caller names, or null
     * @param method the method
     * @param uri the path and query
     * @param body the body
     * @return the digest
     */
    public RequestDigest of(String workspace, String host, String method, String uri, byte[] body) {
        Blake3 hash = Blake3.initKeyedHash(key);
        add(hash, workspace);
        add(hash, host);
        add(hash, method);
        add(hash, uri);
        byte[] out = new byte[DIGEST_BYTES];
        hash.update(body).doFinalize(out);
        return new RequestDigest(HexFormat.of().formatHex(out));
    }

    /** Adds a text behind its length, so that no two lists of texts look the same; a missing one has the length -1. */
    private static void add(Blake3 hash, String text) {
        byte[] bytes = text == null ? new byte[0] : text.getBytes(StandardCharsets.UTF_8);
        int length = text == null ? -1 : bytes.length;
        hash.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).array()).update(bytes);
    }
}
