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
package org.hallwall.entry.relay;

import java.util.List;

import org.hallwall.core.verdict.RefusalException;
import org.hallwall.engine.RunFrame;
import org.hallwall.entry.exchange.Exchange;
import reactor.core.publisher.Flux;

/** Runs a request in another failure domain, when no complete group serves it in this one. */
@FunctionalInterface
public interface RunElsewhere {

    /** Refuses, as there is no other failure domain. */
    RunElsewhere NOWHERE = (x, here) -> Flux.error(here);

    /**
     * Runs a request.
     *
     * @param x the request
     * @param here why it is not run in this failure domain
     * @return the frames of a whole answer, or a {@link RefusalException}
     */
    Flux<List<RunFrame>> run(Exchange x, RefusalException here);
}
