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
package org.hallwall.serving.relay;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import reactor.core.publisher.Mono;

/** The exchanges in progress, with what ends each of them with a response. */
final class OpenExchanges {

    private final Set<Runnable> aborts = ConcurrentHashMap.newKeySet();

    /**
     * Keeps an exchange while it is in progress.
     *
     * @param exchange the exchange
     * @param abort ends it; called on any thread
     * @return the same exchange
     * @param <T> the type of its result
     */
    <T> Mono<T> track(Mono<T> exchange, Runnable abort) {
        return exchange.doOnSubscribe(s -> aborts.add(abort)).doFinally(s -> aborts.remove(abort));
    }

    /** Ends all exchanges. */
    void abortAll() {
        aborts.forEach(Runnable::run);
    }
}
