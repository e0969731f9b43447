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
 * Entries and targets on a virtual clock, with harmless requests, requests that crash their target, and prompt parts that crash the targets
 * that begin to write on them. {@link CrashWatch} and {@link CrashLedger} are the real ones; targets, links and the log are simulated by
 * delays.
 */
final class SimulatedCrashes {

    private static final int NETWORK_DELAY_MILLIS = 2;
    private static final int COMMIT_MILLIS = 5;
    /** The average duration of a harmless request. */
    private static final int RUN_MILLIS = 1_000;

    private static final int CRASH_AFTER_MILLIS = 80;
    /** The shortest and the longest time that a request waits at a target until the response begins. */
    private static final int MIN_WAIT_MILLIS = 30;

    private static final int MAX_WAIT_MILLIS = 250;
    /** From the head of a response to the output that establishes it, or to the crash on a prompt part. */
    private static final int BEGIN_MILLIS = 40;

    /** Crashes after which a prompt part has to be known, and the time until it is held everywhere. */
    private static final int PART_CRASHES = 5;

    private static final int REACTION_MILLIS = 3_000;
    private static final int FIRST_PARTS = 3;
    private static final int SECOND_PARTS = 60;
    /** One in this many harmless requests has a part that hardly any other request has. */
    private static final int REQUESTS_PER_RARE_PART = 10;

    private static final int RARE_PARTS = 2_000;
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
    private final Map<String, List<Long>> crashesByPart = new TreeMap<>();
    private final Map<String, Integer> lateSendsByPart = new TreeMap<>();
    private final Map<String, Long> partHeldAt = new TreeMap<>();
    private long maxPartSpreadMillis;

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
                String name = frequent ? "popular-" + random.nextInt(frequentCount) : "harmless-" + ++number;
                call(new Request(name, harmlessParts()), 1);
            }
        }
    }

    /** Draws the shared parts of a prompt: the first from a few, the second from many with unequal frequency, and at times a rare one. */
    private List<String> harmlessParts() {
        List<String> out = new ArrayList<>();
        out.add("beginning-" + random.nextInt(FIRST_PARTS));
        out.add("second-" + (int) (SECOND_PARTS * Math.pow(random.nextDouble(), 2)));
        if (random.nextInt(REQUESTS_PER_RARE_PART) == 0) {
            out.add("rare-" + random.nextInt(RARE_PARTS));
        }
        return out;
    }

    /** Sends a crashing request periodically from now on, to random entries. */
    void sendPeriodically(String name, int everyMillis) {
        call(new Request(name, List.of()), 1);
        at(everyMillis, () -> sendPeriodically(name, everyMillis));
    }

    /**
     * Sends requests that share a crashing prompt part and the first part of harmless ones, at random intervals from now on, to random
     * entries.
     */
    void sendWithPart(String part, int meanMillis) {
        List<String> parts = new ArrayList<>(harmlessParts());
        parts.set(0, "beginning-0");
        parts.add(1, part);
        call(new Request("with-part-" + ++number, parts), 1);
        at(1 + random.nextInt(2 * meanMillis), () -> sendWithPart(part, meanMillis));
    }

    private static boolean isCrashingPart(String part) {
        return part.startsWith("crashing");
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

    /** Returns the times of the crashes of each crashing prompt part, in milliseconds. */
    Map<String, List<Long>> crashesByPart() {
        return crashesByPart;
    }

    /** Counts sends of requests with a crashing part later than 3 s after its fifth crash. */
    Map<String, Integer> lateSendsByPart() {
        return lateSendsByPart;
    }

    /** Returns the longest time from the hold of a prompt part until all connected entries had it. */
    long maxPartSpreadMillis() {
        return maxPartSpreadMillis;
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

    /** A request and the prompt parts that it shares with others. */
    private record Request(String name, List<String> parts) {

        RequestFeatures features() {
            return new RequestFeatures(
                    new Fingerprint(name),
                    parts.stream().map(Fingerprint::ofPromptPart).toList());
        }

        boolean isHarmless() {
            return !isCrashing(name) && crashingPart() == null;
        }

        String crashingPart() {
            return parts.stream()
                    .filter(SimulatedCrashes::isCrashingPart)
                    .findFirst()
                    .orElse(null);
        }
    }

    private void call(Request request, int tries) {
        if (request.isHarmless() && tries == 1) {
            harmless++;
        }
        Entry e = entries.get(random.nextInt(entries.size()));
        RequestFeatures features = e.watch.isWatching() ? request.features() : null;
        Long[] retryMillis = new Long[1];
        e.watch.holdBackMillis(features).subscribe(millis -> retryMillis[0] = millis);
        if (retryMillis[0] != null) {
            harmlessHeld += request.isHarmless() ? 1 : 0;
            return;
        }
        new Call(request, tries, e).send();
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
                    recordPartSpread();
                }
            });
        }
    }

    private void recordPartSpread() {
        for (Suspect held : ledger.held()) {
            String part = held.digest().value();
            boolean everywhere = entries.stream()
                    .filter(e -> !e.cutOff)
                    .allMatch(e -> e.watch.isHeld(
                            new RequestFeatures(new Fingerprint("none"), List.of(held.digest())), Set.of(), Set.of()));
            if (held.digest().kind() == Fingerprint.Kind.PROMPT_PART && partHeldAt.containsKey(part) && everywhere) {
                long heldAt = partHeldAt.put(part, Long.MAX_VALUE);
                maxPartSpreadMillis = Math.max(maxPartSpreadMillis, heldAt == Long.MAX_VALUE ? 0 : now - heldAt);
            }
        }
    }

    private record Event(long at, long number, Runnable work) {}

    private final class Call {

        private final Request request;
        private final String name;
        private final RequestFeatures features;
        private final int tries;
        private final Entry entry;
        private final Set<InstanceId> brokenOffBy = new HashSet<>();
        private final Set<InstanceId> brokenOffAtStart = new HashSet<>();
        private ResponseProgress progress = ResponseProgress.NONE;
        private ResponseStart start;
        private int attempts;

        Call(Request request, int tries, Entry entry) {
            this.request = request;
            this.name = request.name();
            this.features = request.features();
            this.tries = tries;
            this.entry = entry;
        }

        void send() {
            List<Target> running = targets.stream().filter(t -> t.up).toList();
            if (running.isEmpty()) {
                return;
            }
            attempts++;
            progress = ResponseProgress.NONE;
            recordSend();
            Target t = running.get(random.nextInt(running.size()));
            at(NETWORK_DELAY_MILLIS, () -> t.receive(this));
        }

        private void recordSend() {
            Long thirdCrash = thirdCrashAt.get(name);
            if (thirdCrash != null && now > thirdCrash + 3_000 && !entry.cutOff) {
                lateSends.merge(name, 1, Integer::sum);
            }
            List<Long> crashes = crashesByPart.getOrDefault(request.crashingPart() + "", List.of());
            if (crashes.size() >= PART_CRASHES
                    && now > crashes.get(PART_CRASHES - 1) + REACTION_MILLIS
                    && !entry.cutOff) {
                lateSendsByPart.merge(request.crashingPart(), 1, Integer::sum);
            }
        }

        void begin(InstanceId target) {
            progress = ResponseProgress.BEGUN;
            start = entry.watch.startResponse(target);
        }

        void established() {
            if (progress == ResponseProgress.BEGUN) {
                progress = ResponseProgress.ESTABLISHED;
                entry.watch.recordEstablished(start, features);
            }
        }

        void answered() {
            entry.watch.recordAnswer(start, features);
        }

        void refused() {
            retry();
        }

        void abandoned(InstanceId start) {
            entry.watch.recordAbandoned(start, features, progress);
            retry();
        }

        void disconnected(InstanceId start) {
            brokenOffBy.add(start);
            if (progress != ResponseProgress.ESTABLISHED) {
                brokenOffAtStart.add(start);
            }
            entry.watch.recordDisconnect(start, features, progress);
            retry();
        }

        private void retry() {
            if (attempts < ATTEMPTS && !entry.watch.isHeld(features, brokenOffBy, brokenOffAtStart)) {
                send();
            } else if (tries < TRIES) {
                at(CALLER_DELAY_MILLIS, () -> call(request, tries + 1));
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
            begin(c, start, MIN_WAIT_MILLIS + random.nextInt(MAX_WAIT_MILLIS - MIN_WAIT_MILLIS));
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

        /** Begins to write the response, which crashes the target if the prompt has a crashing part. */
        private void begin(Call c, int start, int waitMillis) {
            at(waitMillis, () -> {
                if (start == starts && up && running.contains(c)) {
                    c.begin(start());
                    at(BEGIN_MILLIS, () -> {
                        if (start != starts || !up || !running.contains(c)) {
                            return;
                        }
                        String part = c.request.crashingPart();
                        if (part == null) {
                            c.established();
                        } else {
                            crashesByPart
                                    .computeIfAbsent(part, p -> new ArrayList<>())
                                    .add(now);
                            crash();
                        }
                    });
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
                        && watch.isHeld(RequestFeatures.of(new Fingerprint(thirdCrash.getKey())), Set.of(), Set.of())) {
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
        public Mono<Long> report(List<CrashedTarget> ended, List<Exoneration> exonerations) {
            return later(NETWORK_DELAY_MILLIS + COMMIT_MILLIS, () -> {
                if (!hasLeader || cutOff) {
                    return null;
                }
                ledger.apply(CrashCommand.report(now, ended, List.of(), exonerations));
                ledger.held().forEach(h -> partHeldAt.putIfAbsent(h.digest().value(), now));
                publish();
                return ledger.version();
            });
        }

        @Override
        public Mono<TrialDecision> requestTrial(Fingerprint digest) {
            return cutOff
                    ? Mono.empty()
                    : Mono.just(new TrialDecision(ledger.apply(CrashCommand.trial(now, digest)), 10_000));
        }
    }
}
