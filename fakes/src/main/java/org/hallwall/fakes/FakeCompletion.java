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
package org.hallwall.fakes;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** Generates the responses of fake engines deterministically from the prompt, so that callers can verify them. */
public final class FakeCompletion {

    private FakeCompletion() {}

    /**
     * Returns the hash of a prompt.
     *
     * @param prompt the prompt
     * @return eight hexadecimal digits
     */
    public static String hash(String prompt) {
        CRC32C crc = new CRC32C();
        crc.update(prompt.getBytes(StandardCharsets.UTF_8));
        return String.format("%08x", crc.getValue());
    }

    /**
     * Returns one token of a response.
     *
     * @param promptHash the hash of the prompt
     * @param n the zero-based index of the token
     * @return the text
     */
    public static String token(String promptHash, int n) {
        return n == 0 ? "answer " + promptHash : " t" + n;
    }

    /**
     * Returns the full text of a response.
     *
     * @param prompt the prompt
     * @param tokens the number of tokens
     * @return the text
     */
    public static String fullText(String prompt, int tokens) {
        String hash = hash(prompt);
        StringBuilder out = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            out.append(token(hash, i));
        }
        return out.toString();
    }
}
