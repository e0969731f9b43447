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
package org.hallwall.control;

import java.time.Duration;
import java.util.List;

import org.hallwall.resource.ResourceMessage.Changes;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Schedulers;

/** Notifies watchers of changes of the declarations. */
public final class ChangeFeed {

    private static final Duration BOOKMARK_INTERVAL = Duration.ofSeconds(1);

    private final DeclarationStateMachine machine;
    private final Sinks.Many<Long> changeSignal = Sinks.many().multicast().directBestEffort();

    /**
     * Creates the feed.
     *
     * @param machine the declarations
     */
    public ChangeFeed(DeclarationStateMachine machine) {
        this.machine = machine;
        machine.onChange(() -> changeSignal.tryEmitNext(0L));
    }

    /**
     * Waits for changes after a version.
     *
     * @param after the version
     * @param wait the maximum time to wait
     * @return the changes; without events if none occur within that time
     */
    public Mono<Changes> awaitChanges(long after, Duration wait) {
        return triggers(wait)
                .<Changes>handle((x, sink) -> {
                    Changes c = machine.changesAfter(after);
                    if (c != null) {
                        sink.next(c);
                    }
                })
                .next()
                .timeout(wait, Mono.fromSupplier(this::emptyChanges));
    }

    /**
     * Streams the changes after a version indefinitely, with a bookmark for each second without changes.
     *
     * @param after the version
     * @return the changes; an element without events is a bookmark
     */
    public Flux<Changes> streamChanges(long after) {
        long[] last = {after};
        return Flux.defer(() -> awaitChanges(last[0], BOOKMARK_INTERVAL))
                .doOnNext(c -> last[0] = Math.max(last[0], c.version()))
                .repeat();
    }

    private Flux<Long> triggers(Duration wait) {
        return Flux.merge(
                changeSignal.asFlux().onBackpressureLatest().publishOn(Schedulers.parallel(), 1), Flux.just(0L));
    }

    private Changes emptyChanges() {
        return new Changes(machine.applied(), false, List.of());
    }
}
