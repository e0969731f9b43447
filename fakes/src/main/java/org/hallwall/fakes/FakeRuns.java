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

/** The runs of one stand-in engine: continuous batching with a bound on runs at once. */
final class FakeRuns {

    private static final int CHARS_A_TOKEN = 4;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int KEPT_RUNS = 2_000;

    private final FakeTargetSettings settings;
    private final FakeAccount account;
    private final FakePrefixCache cache;
    private final Map<AttemptId, FakeRun> known = new LinkedHashMap<>();
    private final Set<AttemptId> refused = new HashSet<>();
    private final Deque<FakeRun> queue = new ArrayDeque<>();
    private final List<FakeRun> running = new ArrayList<>();

    FakeRuns(FakeTargetSettings settings, FakeAccount account) {
        this.settings = settings;
        this.account = account;
        this.cache = new FakePrefixCache(settings.cacheBlocks());
    }

    /** Takes a run; null if the attempt was cancelled before or is known already. */
    synchronized FakeRun add(EngineRun request) {
        if (refused.contains(request.attempt()) || known.containsKey(request.attempt())) {
            return null;
        }
        int promptTokens = Math.max(1, request.prompt().length() / CHARS_A_TOKEN);
        FakeRun run = new FakeRun(request, promptTokens, Math.min(cache.use(request.prompt()), promptTokens));
        known.put(request.attempt(), run);
        if (known.size() > KEPT_RUNS) {
            known.remove(known.keySet().iterator().next());
        }
        account.runStarted(request.attempt(), run.promptHash(), request.group(), System.currentTimeMillis());
        queue.add(run);
        return run;
    }

    synchronized FakeRun get(AttemptId attempt) {
        return known.get(attempt);
    }

    /** Cancels a run or makes sure that it never starts; returns whether it had started. */
    synchronized boolean cancel(AttemptId attempt) {
        FakeRun run = known.get(attempt);
        if (run == null) {
            refused.add(attempt);
            return false;
        }
        run.finish(RunFrame.End.CANCELLED);
        return true;
    }

    /** Lets time pass; returns true if a fault switch says that the target dies now. */
    synchronized boolean step(double now, FakeFaults faults) {
        admit(now);
        double millisPerToken = MILLIS_PER_SECOND / settings.tokensPerSecond() * faults.slowFactor();
        boolean dies = false;
        for (FakeRun run : running) {
            int before = run.tokens();
            run.generate(now, millisPerToken);
            dies |= crosses(before, run.tokens(), faults.dieAfterToken());
            run.flush(faults);
            if (crosses(before, run.tokens(), faults.cutAfterToken())) {
                run.cutConnection();
            }
        }
        running.removeIf(this::settleIfEnded);
        return dies;
    }

    synchronized void failAll() {
        queue.forEach(r -> r.finish(RunFrame.End.ERROR));
        running.forEach(r -> r.finish(RunFrame.End.ERROR));
    }

    synchronized void cutAll() {
        known.values().forEach(FakeRun::cutConnection);
        queue.clear();
        running.clear();
    }

    synchronized TargetLoad load() {
        return new TargetLoad(running.size(), queue.size(), settings.slots());
    }

    private void admit(double now) {
        while (!queue.isEmpty() && running.size() < settings.slots()) {
            FakeRun run = queue.poll();
            int fresh = Math.max(1, run.request().prompt().length() / CHARS_A_TOKEN) - run.cachedTokens();
            run.startAt(now + fresh * MILLIS_PER_SECOND / settings.prefillTokensPerSecond());
            running.add(run);
        }
    }

    private boolean settleIfEnded(FakeRun run) {
        if (run.end() == null) {
            return false;
        }
        account.runEnded(run.request().attempt(), run.tokens(), run.end());
        return true;
    }

    private static boolean crosses(int before, int after, int at) {
        return at >= 0 && before <= at && after > at;
    }
}
