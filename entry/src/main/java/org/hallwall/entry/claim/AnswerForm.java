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
 * Turns the parts of an answer into what is kept, and back.
 *
 * @param <T> the type of the parts
 */
public interface AnswerForm<T> {

    /**
     * Says whether a part is the last one of a whole answer.
     *
     * @param part the part
     * @return true if it is
     */
    boolean isLast(T part);

    /**
     * Makes what is kept.
     *
     * @param parts all parts of a whole answer
     * @return what is kept
     */
    StoredAnswer store(List<T> parts);

    /**
     * Makes the parts of an answer that was kept.
     *
     * @param answer what was kept
     * @return the parts
     */
    Flux<T> restore(StoredAnswer answer);
}
