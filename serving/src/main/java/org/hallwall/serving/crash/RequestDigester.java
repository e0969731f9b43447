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
 * Computes keyed digests of requests, with a key that all processes share.
 *
 * <p>The key prevents readers of the logs from guessing the content of requests. The workspace is part of the digest, so that requests of
 * different workspaces are never confused.
 */
public final class RequestDigester {

    /** The key length of BLAKE3 in bytes. */
    public static final int KEY_BYTES = 32;

    /** The digest length in bytes: the collision probability among 2^32 requests is below 2^-64. */
    private static final int DIGEST_BYTES = 16;

    private final byte[] key;

    /**
     * Creates a digester.
     *
     * @param key the key, {@value #KEY_BYTES} bytes
     */
    public RequestDigester(byte[] key) {
        if (key.length != KEY_BYTES) {
            throw new IllegalArgumentException("the digest key must have " + KEY_BYTES + " bytes");
        }
        this.key = key.clone();
    }

    /**
     * Digests a request.
     *
     * @param workspace the caller's workspace, or null
     * @param host the requested host, or null
     * @param method the HTTP method
     * @param uri the path and query
     * @param body the body
     * @return the digest
     */
    public Fingerprint digest(String workspace, String host, String method, String uri, byte[] body) {
        Blake3 hash = Blake3.initKeyedHash(key);
        add(hash, workspace);
        add(hash, host);
        add(hash, method);
        add(hash, uri);
        byte[] out = new byte[DIGEST_BYTES];
        hash.update(body).doFinalize(out);
        return new Fingerprint(HexFormat.of().formatHex(out));
    }

    /** Adds a length-prefixed field, so that field boundaries are unambiguous; null has the length -1. */
    private static void add(Blake3 hash, String field) {
        byte[] bytes = field == null ? new byte[0] : field.getBytes(StandardCharsets.UTF_8);
        int length = field == null ? -1 : bytes.length;
        hash.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).array()).update(bytes);
    }
}
