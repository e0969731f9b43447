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

import java.util.LinkedHashMap;
import java.util.Map;

/** A prefix cache of bounded size with least-recently-used eviction. */
final class FakePrefixCache {

    private static final int BLOCK_CHARS = 64;
    private static final int TOKENS_PER_BLOCK = 16;

    private final Map<Integer, Boolean> blocks;

    FakePrefixCache(int size) {
        blocks = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
                return size() > size;
            }
        };
    }

    /** Returns the number of cached prefix tokens of a prompt and inserts all its blocks. */
    int lookupAndInsert(String prompt) {
        int cached = 0;
        boolean matching = true;
        int chain = 1;
        for (int offset = 0; offset + BLOCK_CHARS <= prompt.length(); offset += BLOCK_CHARS) {
            chain = 31 * chain + prompt.substring(offset, offset + BLOCK_CHARS).hashCode();
            matching = matching && blocks.get(chain) != null;
            cached += matching ? TOKENS_PER_BLOCK : 0;
            blocks.put(chain, Boolean.TRUE);
        }
        return cached;
    }
}
