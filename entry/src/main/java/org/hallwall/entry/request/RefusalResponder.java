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
package org.hallwall.entry.request;

import java.time.Duration;

import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;
import org.hallwall.core.verdict.Verdict;
import org.hallwall.entry.relay.RelayMetrics;
import org.hallwall.program.HttpReplies;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** Sends error responses for refused and failed requests, and counts them. */
final class RefusalResponder {

    private static final Logger LOG = Logger.getLogger(RefusalResponder.class);

    private final RelayMetrics metrics;

    RefusalResponder(RelayMetrics metrics) {
        this.metrics = metrics;
    }

    Mono<Void> respond(HttpServerResponse res, Throwable e, String requestId) {
        RefusalException refusal = toRefusal(e);
        return Mono.from(HttpReplies.problem(res, refusal, requestId));
    }

    /** Converts an error to a refusal. Unexpected errors get the verdict {@code MAY_HAVE_RUN}. */
    RefusalException toRefusal(Throwable e) {
        RefusalException refusal;
        if (e instanceof RefusalException r) {
            refusal = r;
        } else {
            LOG.errorf(e, "entry: unexpected error while handling a request");
            refusal = new RefusalException(ProblemType.INTERNAL, Verdict.MAY_HAVE_RUN, "internal error", Duration.ZERO);
        }
        metrics.countRefusal(refusal.type(), refusal.verdict());
        return refusal;
    }
}
