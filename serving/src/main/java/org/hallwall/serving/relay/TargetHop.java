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

import org.hallwall.core.verdict.Verdict;
import org.hallwall.serving.crash.ResponseProgress;
import reactor.core.publisher.Flux;

/**
 * An attempt at a target.
 *
 * @param target the target
 * @param state its recent outcomes
 * @param client sends requests to targets
 * @param connection the connection on which the attempt is sent
 */
record TargetHop(ServingTarget target, TargetState state, TargetClient client, AttemptConnection connection)
        implements NextHop {

    @Override
    public boolean isEntry() {
        return false;
    }

    @Override
    public boolean hasReport() {
        return false;
    }

    @Override
    public RequestHistory historyAfter(RequestHistory before, AttemptFailure f, ResponseProgress progress) {
        if (f.verdict() == Verdict.NOT_RUN) {
            return f.hasReachedTarget() ? before.with(target.instance(), RequestHistory.Outcome.REJECTED) : before;
        }
        if (f.kind() != AttemptFailure.Kind.CONNECTION_LOST) {
            return before.with(target.instance(), RequestHistory.Outcome.RAN);
        }
        return before.with(
                target.instance(),
                progress == ResponseProgress.ESTABLISHED
                        ? RequestHistory.Outcome.DISCONNECTED
                        : RequestHistory.Outcome.DISCONNECTED_AT_START);
    }

    @Override
    public <T> Flux<T> send(
            RelayRequest request, String lastEventId, RequestHistory history, TargetClient.ResponseReader<T> reader) {
        return client.send(this, request, lastEventId, reader);
    }
}
