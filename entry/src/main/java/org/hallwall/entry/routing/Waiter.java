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
package org.hallwall.entry.routing;

import java.util.concurrent.atomic.AtomicBoolean;

import org.hallwall.core.verdict.RefusalException;
import org.hallwall.entry.exchange.Exchange;
import reactor.core.publisher.MonoSink;

/** A request that waits for a group. */
final class Waiter {

    private final Exchange exchange;
    private final MonoSink<Assignment> sink;
    private final AtomicBoolean gone = new AtomicBoolean();

    Waiter(Exchange exchange, MonoSink<Assignment> sink) {
        this.exchange = exchange;
        this.sink = sink;
        sink.onCancel(() -> gone.set(true));
    }

    Exchange exchange() {
        return exchange;
    }

    boolean isGone() {
        return gone.get();
    }

    void give(Assignment a) {
        sink.success(a);
    }

    void refuse(RefusalException e) {
        sink.error(e);
    }
}
