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

/** An attempt at another entry, which sends the request to targets and runs it at one of them at most. */
final class EntryHop implements NextHop {

    private final ServingTarget entry;
    private final TargetState state;
    private final EntryClient client;
    private final AttemptConnection connection = new AttemptConnection();
    private volatile RequestHistory reported;

    /**
     * Creates an attempt.
     *
     * @param entry the entry
     * @param state its recent outcomes
     * @param client sends requests to entries
     */
    EntryHop(ServingTarget entry, TargetState state, EntryClient client) {
        this.entry = entry;
        this.state = state;
        this.client = client;
    }

    @Override
    public ServingTarget target() {
        return entry;
    }

    @Override
    public TargetState state() {
        return state;
    }

    @Override
    public AttemptConnection connection() {
        return connection;
    }

    @Override
    public boolean isEntry() {
        return true;
    }

    /** Records the history that the entry has sent with its response. */
    void recordReport(RequestHistory history) {
        reported = history;
    }

    @Override
    public boolean hasReport() {
        return reported != null;
    }

    /** Without a report, the run that the entry was allowed counts as made. */
    @Override
    public RequestHistory historyAfter(RequestHistory before, AttemptFailure f, ResponseProgress progress) {
        boolean mayHaveRun = f.verdict() != Verdict.NOT_RUN;
        if (reported != null && reported.runs() >= before.runs() + (mayHaveRun ? 1 : 0)) {
            return reported;
        }
        return mayHaveRun ? before.withUnknownRun() : before;
    }

    @Override
    public <T> Flux<T> send(
            RelayRequest request, String lastEventId, RequestHistory history, TargetClient.ResponseReader<T> reader) {
        return client.send(this, request, lastEventId, history, reader);
    }
}
