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

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.hallwall.core.id.AttemptId;
import org.hallwall.engine.EngineRun;
import org.hallwall.engine.RunFrame;
import org.hallwall.engine.TargetLoad;

/** Schedules the runs of a fake engine: continuous batching with a bounded number of concurrent runs. */
final class FakeBatchScheduler {

    private static final int CHARS_PER_TOKEN = 4;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int MAX_RETAINED_RUNS = 2_000;

    private final FakeTargetSettings settings;
    private final FakeTargetHistory history;
    private final FakePrefixCache cache;
    private final Map<AttemptId, FakeRun> runsByAttempt = new LinkedHashMap<>();
    private final Set<AttemptId> cancelledAttempts = new HashSet<>();
    private final Deque<FakeRun> queue = new ArrayDeque<>();
    private final List<FakeRun> running = new ArrayList<>();

    FakeBatchScheduler(FakeTargetSettings settings, FakeTargetHistory history) {
        this.settings = settings;
        this.history = history;
        this.cache = new FakePrefixCache(settings.cacheBlocks());
    }

    /** Enqueues a run; returns null if the attempt is a duplicate or has already been cancelled. */
    synchronized FakeRun add(EngineRun request) {
        if (cancelledAttempts.contains(request.attempt()) || runsByAttempt.containsKey(request.attempt())) {
            return null;
        }
        int promptTokens = Math.max(1, request.prompt().length() / CHARS_PER_TOKEN);
        FakeRun run =
                new FakeRun(request, promptTokens, Math.min(cache.lookupAndInsert(request.prompt()), promptTokens));
        runsByAttempt.put(request.attempt(), run);
        if (runsByAttempt.size() > MAX_RETAINED_RUNS) {
            runsByAttempt.remove(runsByAttempt.keySet().iterator().next());
        }
        history.recordRunStart(request.attempt(), run.promptHash(), request.group(), System.currentTimeMillis());
        queue.add(run);
        return run;
    }

    synchronized FakeRun get(AttemptId attempt) {
        return runsByAttempt.get(attempt);
    }

    /** Cancels a run, or prevents its start if it has not arrived yet; returns whether the run was known. */
    synchronized boolean cancel(AttemptId attempt) {
        FakeRun run = runsByAttempt.get(attempt);
        if (run == null) {
            cancelledAttempts.add(attempt);
            return false;
        }
        run.finish(RunFrame.End.CANCELLED);
        return true;
    }

    /** Advances all runs to the given time; returns whether the die-after-token fault was triggered. */
    synchronized boolean step(double now, FakeFaults faults) {
        admit(now);
        double millisPerToken = MILLIS_PER_SECOND / settings.tokensPerSecond() * faults.slowFactor();
        boolean dieTriggered = false;
        for (FakeRun run : running) {
            int tokensBefore = run.generatedTokens();
            run.generate(now, millisPerToken);
            dieTriggered |= crosses(tokensBefore, run.generatedTokens(), faults.dieAfterToken());
            run.flush(faults);
            if (crosses(tokensBefore, run.generatedTokens(), faults.cutAfterToken())) {
                run.dropConnection();
            }
        }
        running.removeIf(this::recordIfEnded);
        return dieTriggered;
    }

    synchronized void failAll() {
        queue.forEach(r -> r.finish(RunFrame.End.ERROR));
        running.forEach(r -> r.finish(RunFrame.End.ERROR));
    }

    synchronized void dropAll() {
        runsByAttempt.values().forEach(FakeRun::dropConnection);
        queue.clear();
        running.clear();
    }

    synchronized TargetLoad load() {
        return new TargetLoad(running.size(), queue.size(), settings.slots());
    }

    private void admit(double now) {
        while (!queue.isEmpty() && running.size() < settings.slots()) {
            FakeRun run = queue.poll();
            int uncachedTokens = Math.max(1, run.request().prompt().length() / CHARS_PER_TOKEN) - run.cachedTokens();
            run.scheduleFirstToken(now + uncachedTokens * MILLIS_PER_SECOND / settings.prefillTokensPerSecond());
            running.add(run);
        }
    }

    private boolean recordIfEnded(FakeRun run) {
        if (run.end() == null) {
            return false;
        }
        history.recordRunEnd(run.request().attempt(), run.generatedTokens(), run.end());
        return true;
    }

    private static boolean crosses(int tokensBefore, int after, int at) {
        return at >= 0 && tokensBefore <= at && after > at;
    }
}
