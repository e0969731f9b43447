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
package org.hallwall.serving.crash;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.hallwall.core.id.InstanceId;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Entries and targets on a virtual clock, with harmless requests and requests that crash their target. {@link CrashWatch} and
 * {@link CrashLedger} are the real ones; targets, links and the log are simulated by delays.
 */
final class SimulatedCrashes {

    private static final int NETWORK_DELAY_MILLIS = 2;
    private static final int COMMIT_MILLIS = 5;
    /** The average duration of a harmless request. */
    private static final int RUN_MILLIS = 1_000;

    private static final int CRASH_AFTER_MILLIS = 80;
    /** When a target crashes under a request that entries abandon before. */
    private static final int LATE_CRASH_AFTER_MILLIS = 700;

    private static final int ABANDON_AFTER_MILLIS = 300;
    private static final int RESTART_MILLIS = 8_000;

    /** Targets that an entry tries for one call. */
    private static final int ATTEMPTS = 2;
    /** Calls that a caller makes for one request. */
    private static final int TRIES = 2;

    private static final int CALLER_DELAY_MILLIS = 30;
    private static final int TICK_MILLIS = 200;

    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final CrashLedger ledger = new CrashLedger();
    private final List<Entry> entries = new ArrayList<>();
    private final List<Target> targets = new ArrayList<>();
    private final Map<String, Integer> crashesByRequest = new TreeMap<>();
    private final Map<String, Long> thirdCrashAt = new HashMap<>();
    private final Map<String, Integer> lateSends = new TreeMap<>();
    private long now = 1_000;
    private long number;
    private boolean hasLeader = true;
    private int harmless;
    private int harmlessHeld;
    private long maxDetectionMillis;

    SimulatedCrashes(int entryCount, int targetCount, long seed) {
        random = new Random(seed);
        ledger.apply(CrashCommand.key(now, new byte[RequestDigester.KEY_BYTES]));
        for (int i = 0; i < entryCount; i++) {
            entries.add(new Entry());
        }
        for (int i = 0; i < targetCount; i++) {
            targets.add(new Target("t-" + i));
        }
        publish();
        at(TICK_MILLIS, this::tick);
    }

    /** Advances the clock while harmless requests arrive; a part of them are drawn from a few frequent ones. */
    void run(int seconds, double perSecond, double frequentPart, int frequentCount) {
        long end = now + seconds * 1_000L;
        while (now < end) {
            now++;
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().work().run();
            }
            for (double remaining = perSecond / 1_000; random.nextDouble() < remaining; remaining--) {
                boolean frequent = random.nextDouble() < frequentPart;
                call(frequent ? "popular-" + random.nextInt(frequentCount) : "harmless-" + ++number, 1);
            }
        }
    }

    /** Sends a crashing request periodically from now on, to random entries. */
    void sendPeriodically(String name, int everyMillis) {
        call(name, 1);
        at(everyMillis, () -> sendPeriodically(name, everyMillis));
    }

    /** Crashes a random part of the targets at once. */
    void crashSome(double part) {
        targets.stream().filter(t -> random.nextDouble() < part).forEach(Target::crash);
    }

    void restartEntries() {
        for (int i = 0; i < entries.size(); i++) {
            Entry e = new Entry();
            // an entry accepts callers only after it has received the suspects
            e.watch.applyUpdate(ledger.changesSince(0));
            e.recordHeld();
            entries.set(i, e);
        }
    }

    /** Leaves the log without a leader for a time: reports fail and entries get no updates. */
    void loseLeader(int millis) {
        hasLeader = false;
        at(millis, () -> hasLeader = true);
    }

    /** Partitions a part of the entries from the log for a time; callers and targets stay connected. */
    void cutOff(double part, int millis) {
        List<Entry> cutOffEntries =
                entries.stream().filter(e -> random.nextDouble() < part).toList();
        cutOffEntries.forEach(e -> e.cutOff = true);
        at(millis, () -> {
            cutOffEntries.forEach(e -> {
                e.cutOff = false;
                e.connectedSince = now;
            });
            publish();
        });
    }

    Map<String, Integer> crashesByRequest() {
        return crashesByRequest;
    }

    /** Counts sends later than 3 s after the request's third crash. */
    Map<String, Integer> lateSends() {
        return lateSends;
    }

    int harmless() {
        return harmless;
    }

    int harmlessHeld() {
        return harmlessHeld;
    }

    /** Returns the longest time from a request's third crash until a connected entry held it. */
    long maxDetectionMillis() {
        return maxDetectionMillis;
    }

    private static boolean isCrashing(String name) {
        return name.startsWith("crashing");
    }

    /** Returns whether entries abandon a request before its target crashes. */
    private static boolean isAbandoned(String name) {
        return name.startsWith("crashing-late");
    }

    private void call(String name, int tries) {
        if (!isCrashing(name) && tries == 1) {
            harmless++;
        }
        Entry e = entries.get(random.nextInt(entries.size()));
        RequestDigest digest = e.watch.isWatching() ? new RequestDigest(name) : null;
        Long[] retryMillis = new Long[1];
        e.watch.holdBackMillis(digest).subscribe(millis -> retryMillis[0] = millis);
        if (retryMillis[0] != null) {
            harmlessHeld += isCrashing(name) ? 0 : 1;
            return;
        }
        new Call(name, tries, e).send();
    }

    private void at(long millis, Runnable work) {
        events.add(new Event(now + millis, ++number, work));
    }

    private <T> Mono<T> later(long millis, java.util.function.Supplier<T> value) {
        Sinks.One<T> sink = Sinks.one();
        at(millis, () -> {
            T v = value.get();
            if (v == null) {
                sink.tryEmitEmpty();
            } else {
                sink.tryEmitValue(v);
            }
        });
        return sink.asMono();
    }

    private void tick() {
        entries.forEach(e -> e.watch.tick());
        at(TICK_MILLIS, this::tick);
    }

    private void publish() {
        for (Entry e : entries) {
            at(NETWORK_DELAY_MILLIS + random.nextInt(NETWORK_DELAY_MILLIS * 2), () -> {
                SuspectUpdate update = hasLeader && !e.cutOff ? ledger.changesSince(e.watch.version()) : null;
                if (update != null) {
                    e.watch.applyUpdate(update);
                    e.recordHeld();
                }
            });
        }
    }

    private record Event(long at, long number, Runnable work) {}

    private final class Call {

        private final String name;
        private final RequestDigest digest;
        private final int tries;
        private final Entry entry;
        private final Set<InstanceId> brokenOffBy = new HashSet<>();
        private int attempts;

        Call(String name, int tries, Entry entry) {
            this.name = name;
            this.digest = new RequestDigest(name);
            this.tries = tries;
            this.entry = entry;
        }

        void send() {
            List<Target> running = targets.stream().filter(t -> t.up).toList();
            if (running.isEmpty()) {
                return;
            }
            attempts++;
            recordSend();
            Target t = running.get(random.nextInt(running.size()));
            at(NETWORK_DELAY_MILLIS, () -> t.receive(this));
        }

        private void recordSend() {
            Long thirdCrash = thirdCrashAt.get(name);
            if (thirdCrash != null && now > thirdCrash + 3_000 && !entry.cutOff) {
                lateSends.merge(name, 1, Integer::sum);
            }
        }

        void answered() {
            entry.watch.recordAnswer(digest);
        }

        void refused() {
            retry();
        }

        void abandoned(InstanceId start) {
            entry.watch.recordAbandoned(start, digest);
            retry();
        }

        void disconnected(InstanceId start) {
            brokenOffBy.add(start);
            entry.watch.recordDisconnect(start, digest);
            retry();
        }

        private void retry() {
            if (attempts < ATTEMPTS && !entry.watch.isHeld(digest, brokenOffBy)) {
                send();
            } else if (tries < TRIES) {
                at(CALLER_DELAY_MILLIS, () -> call(name, tries + 1));
            }
        }
    }

    private final class Target {

        private final String name;
        private final List<Call> running = new ArrayList<>();
        private boolean up = true;
        private int starts;

        Target(String name) {
            this.name = name;
        }

        InstanceId start() {
            return new InstanceId(name + "/" + starts);
        }

        void receive(Call c) {
            if (!up) {
                at(NETWORK_DELAY_MILLIS, c::refused);
                return;
            }
            running.add(c);
            int start = starts;
            boolean crashing = isCrashing(c.name);
            if (isAbandoned(c.name)) {
                at(ABANDON_AFTER_MILLIS, () -> {
                    if (running.remove(c)) {
                        c.abandoned(start());
                    }
                });
            }
            int crashAfterMillis = isAbandoned(c.name) ? LATE_CRASH_AFTER_MILLIS : CRASH_AFTER_MILLIS;
            at(crashing ? crashAfterMillis : RUN_MILLIS / 2 + random.nextInt(RUN_MILLIS), () -> {
                if (start != starts || !up) {
                    return;
                }
                if (crashing) {
                    crashesByRequest.merge(c.name, 1, Integer::sum);
                    if (crashesByRequest.get(c.name) == CrashLedger.HOLD_THRESHOLD) {
                        thirdCrashAt.put(c.name, now);
                    }
                    crash();
                } else {
                    running.remove(c);
                    at(NETWORK_DELAY_MILLIS, c::answered);
                }
            });
        }

        void crash() {
            if (!up) {
                return;
            }
            up = false;
            List<Call> interrupted = List.copyOf(running);
            InstanceId crashed = start();
            running.clear();
            interrupted.forEach(c -> at(NETWORK_DELAY_MILLIS, () -> c.disconnected(crashed)));
            at(RESTART_MILLIS, () -> {
                starts++;
                up = true;
            });
        }
    }

    private final class Entry implements CrashPeers {

        private final CrashWatch watch = new CrashWatch(this, Runnable::run, () -> now);
        private final Set<String> heldRequests = new HashSet<>();
        private long connectedSince = now;
        private boolean cutOff;

        void recordHeld() {
            for (Map.Entry<String, Long> thirdCrash : thirdCrashAt.entrySet()) {
                if (!heldRequests.contains(thirdCrash.getKey())
                        && watch.isHeld(new RequestDigest(thirdCrash.getKey()), Set.of())) {
                    heldRequests.add(thirdCrash.getKey());
                    maxDetectionMillis =
                            Math.max(maxDetectionMillis, now - Math.max(connectedSince, thirdCrash.getValue()));
                }
            }
        }

        @Override
        public Mono<Boolean> isResponding(InstanceId target) {
            return later(
                    NETWORK_DELAY_MILLIS * 2,
                    () -> targets.stream().anyMatch(t -> t.up && t.start().equals(target)));
        }

        @Override
        public Mono<Boolean> refusesConnections(InstanceId target) {
            return later(
                    NETWORK_DELAY_MILLIS * 2,
                    () -> targets.stream().anyMatch(t -> !t.up && t.start().equals(target)));
        }

        @Override
        public Mono<Boolean> reachesNeighbours(InstanceId target) {
            return later(
                    NETWORK_DELAY_MILLIS * 2,
                    () -> targets.stream().anyMatch(t -> t.up && !t.start().equals(target)));
        }

        @Override
        public boolean hasRestarted(InstanceId target) {
            return false;
        }

        @Override
        public Mono<Long> report(List<CrashedTarget> ended, List<RequestDigest> survived) {
            return later(NETWORK_DELAY_MILLIS + COMMIT_MILLIS, () -> {
                if (!hasLeader || cutOff) {
                    return null;
                }
                ledger.apply(CrashCommand.report(now, ended, survived));
                publish();
                return ledger.version();
            });
        }

        @Override
        public Mono<TrialDecision> requestTrial(RequestDigest digest) {
            return cutOff
                    ? Mono.empty()
                    : Mono.just(new TrialDecision(ledger.apply(CrashCommand.trial(now, digest)), 10_000));
        }
    }
}
