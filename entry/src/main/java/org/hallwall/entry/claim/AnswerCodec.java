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
package org.hallwall.entry.claim;

import java.util.List;

import reactor.core.publisher.Flux;

/**
 * Converts the parts of an answer to a {@link StoredAnswer} and back.
 *
 * @param <T> the type of the parts
 */
public interface AnswerCodec<T> {

    /**
     * Returns whether a part is the last one of a complete answer.
     *
     * @param part the part
     * @return true if it is the last part
     */
    boolean isLast(T part);

    /**
     * Encodes a complete answer for storage.
     *
     * @param parts all parts of the answer, in order
     * @return the stored form
     */
    StoredAnswer encode(List<T> parts);

    /**
     * Decodes a stored answer.
     *
     * @param answer the stored answer
     * @return the parts, in order
     */
    Flux<T> decode(StoredAnswer answer);
}
