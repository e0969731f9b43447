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
 * Entries and targets on a virtual clock: callers of innocent requests, some of them popular, and callers of requests that end the target
 * that runs them. The watch of each entry and the ledger are the real ones; targets, links and the log are only times.
 */
final class SimulatedCrashes {

    /** The time between two processes, and to and from a target, in milliseconds. */
    private static final int HOP = 2;
    /** The time that a commit takes, in milliseconds. */
    private static final int COMMIT = 5;
    /** How long a request takes that nothing ends, and one that ends its target until it does, in milliseconds. */
    private static final int RUN = 1_000;

    private static final int TO_THE_END = 80;
    /** The same of a request that entries have left by then, and how long they wait for it, in milliseconds. */
    private static final int TO_A_LATE_END = 700;

    private static final int PATIENCE = 300;
    /** How long a target is away, in milliseconds. */
    private static final int AWAY = 8_000;

    private static final int ATTEMPTS = 2;
    private static final int TRIES = 2;
    private static final int CALLER_PAUSE = 30;
    private static final int LOOK = 200;

    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final CrashLedger ledger = new CrashLedger();
    private final List<Entry> entries = new ArrayList<>();
    private final List<Target> targets = new ArrayList<>();
    private final Map<String, Integer> endedBy = new TreeMap<>();
    private final Map<String, Long> thirdAt = new HashMap<>();
    private final Map<String, Integer> sentLater = new TreeMap<>();
    private long now = 1_000;
    private long number;
    private boolean led = true;
    private int innocents;
    private int innocentsHeld;
    private long slowestToKnow;

    SimulatedCrashes(int entryCount, int targetCount, long seed) {
        random = new Random(seed);
        ledger.apply(CrashCommand.key(now, new byte[RequestDigester.KEY_BYTES]));
        for (int i = 0; i < entryCount; i++) {
            entries.add(new Entry());
        }
        for (int i = 0; i < targetCount; i++) {
            targets.add(new Target("t-" + i));
        }
        tell();
        at(LOOK, this::look);
    }

    // --- what a test does

    /** Lets time pass while so many innocent requests a second come; a part of them are about a few popular things. */
    void run(int seconds, double perSecond, double popularPart, int popular) {
        long end = now + seconds * 1_000L;
        while (now < end) {
            now++;
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().work().run();
            }
            for (double left = perSecond / 1_000; random.nextDouble() < left; left--) {
                boolean hot = random.nextDouble() < popularPart;
                call(hot ? "popular-" + random.nextInt(popular) : "innocent-" + ++number, 1);
            }
        }
    }

    /** A request that ends targets comes from now on so often, at any entry. */
    void comes(String name, int everyMillis) {
        call(name, 1);
        at(everyMillis, () -> comes(name, everyMillis));
    }

    /** The targets of a rack, or of a failure domain, end at once. */
    void endSome(double part) {
        targets.stream().filter(t -> random.nextDouble() < part).forEach(Target::end);
    }

    void restartEntries() {
        for (int i = 0; i < entries.size(); i++) {
            Entry e = new Entry();
            // an entry takes callers only when it knows what the log holds
            e.watch.take(ledger.news(0));
            e.noteKnown();
            entries.set(i, e);
        }
    }

    /** Nobody leads the log for a time: reports aren't taken, and nothing is told. */
    void leaderless(int millis) {
        led = false;
        at(millis, () -> led = true);
    }

    /** A failure domain's entries are cut off from the log for a time; callers still reach them, and they their targets. */
    void cutOff(double part, int millis) {
        List<Entry> some =
                entries.stream().filter(e -> random.nextDouble() < part).toList();
        some.forEach(e -> e.cutOff = true);
        at(millis, () -> {
            some.forEach(e -> {
                e.cutOff = false;
                e.inTouchSince = now;
            });
            tell();
        });
    }

    // --- what it asks

    Map<String, Integer> endedBy() {
        return endedBy;
    }

    /** Counts how often requests were sent later than a time after the third end under them. */
    Map<String, Integer> sentLater() {
        return sentLater;
    }

    int innocents() {
        return innocents;
    }

    int innocentsHeld() {
        return innocentsHeld;
    }

    /** Gives the longest time from a third end, and since an entry is in touch, until it held the request back. */
    long slowestToKnow() {
        return slowestToKnow;
    }

    // --- callers and targets

    private static boolean isGuilty(String name) {
        return name.startsWith("guilty");
    }

    /** Says whether entries give a request up before its target ends. */
    private static boolean isLeft(String name) {
        return name.startsWith("guilty-late");
    }

    private void call(String name, int tries) {
        if (!isGuilty(name) && tries == 1) {
            innocents++;
        }
        Entry e = entries.get(random.nextInt(entries.size()));
        RequestDigest digest = e.watch.isWatching() ? new RequestDigest(name) : null;
        Long[] away = new Long[1];
        e.watch.holdBackMillis(digest).subscribe(millis -> away[0] = millis);
        if (away[0] != null) {
            innocentsHeld += isGuilty(name) ? 0 : 1;
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

    private void look() {
        entries.forEach(e -> e.watch.tick());
        at(LOOK, this::look);
    }

    private void tell() {
        for (Entry e : entries) {
            at(HOP + random.nextInt(HOP * 2), () -> {
                SuspectNews news = led && !e.cutOff ? ledger.news(e.watch.version()) : null;
                if (news != null) {
                    e.watch.take(news);
                    e.noteKnown();
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
            List<Target> there = targets.stream().filter(t -> t.up).toList();
            if (there.isEmpty()) {
                return;
            }
            attempts++;
            noteSend();
            Target t = there.get(random.nextInt(there.size()));
            at(HOP, () -> t.take(this));
        }

        private void noteSend() {
            Long third = thirdAt.get(name);
            if (third != null && now > third + 3_000 && !entry.cutOff) {
                sentLater.merge(name, 1, Integer::sum);
            }
        }

        void answered() {
            entry.watch.survived(digest);
        }

        void refused() {
            again();
        }

        void left(InstanceId start) {
            entry.watch.left(start, digest);
            again();
        }

        void brokenOff(InstanceId start) {
            brokenOffBy.add(start);
            entry.watch.cut(start, digest);
            again();
        }

        private void again() {
            if (attempts < ATTEMPTS && !entry.watch.isHeld(digest, brokenOffBy)) {
                send();
            } else if (tries < TRIES) {
                at(CALLER_PAUSE, () -> call(name, tries + 1));
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

        void take(Call c) {
            if (!up) {
                at(HOP, c::refused);
                return;
            }
            running.add(c);
            int start = starts;
            boolean guilty = isGuilty(c.name);
            if (isLeft(c.name)) {
                at(PATIENCE, () -> {
                    if (running.remove(c)) {
                        c.left(start());
                    }
                });
            }
            int toTheEnd = isLeft(c.name) ? TO_A_LATE_END : TO_THE_END;
            at(guilty ? toTheEnd : RUN / 2 + random.nextInt(RUN), () -> {
                if (start != starts || !up) {
                    return;
                }
                if (guilty) {
                    endedBy.merge(c.name, 1, Integer::sum);
                    if (endedBy.get(c.name) == CrashLedger.ENDED_TO_HOLD) {
                        thirdAt.put(c.name, now);
                    }
                    end();
                } else {
                    running.remove(c);
                    at(HOP, c::answered);
                }
            });
        }

        void end() {
            if (!up) {
                return;
            }
            up = false;
            List<Call> cut = List.copyOf(running);
            InstanceId ended = start();
            running.clear();
            cut.forEach(c -> at(HOP, () -> c.brokenOff(ended)));
            at(AWAY, () -> {
                starts++;
                up = true;
            });
        }
    }

    private final class Entry implements CrashPeers {

        private final CrashWatch watch = new CrashWatch(this, Runnable::run, () -> now);
        private final Set<String> knows = new HashSet<>();
        private long inTouchSince = now;
        private boolean cutOff;

        void noteKnown() {
            for (Map.Entry<String, Long> third : thirdAt.entrySet()) {
                if (!knows.contains(third.getKey()) && watch.isHeld(new RequestDigest(third.getKey()), Set.of())) {
                    knows.add(third.getKey());
                    slowestToKnow = Math.max(slowestToKnow, now - Math.max(inTouchSince, third.getValue()));
                }
            }
        }

        @Override
        public Mono<Boolean> answers(InstanceId target) {
            return later(
                    HOP * 2,
                    () -> targets.stream().anyMatch(t -> t.up && t.start().equals(target)));
        }

        @Override
        public Mono<Boolean> refuses(InstanceId target) {
            return later(
                    HOP * 2,
                    () -> targets.stream().anyMatch(t -> !t.up && t.start().equals(target)));
        }

        @Override
        public boolean hasStartedAgain(InstanceId target) {
            return false;
        }

        @Override
        public Mono<Long> report(List<EndedTarget> ended, List<RequestDigest> survived) {
            return later(HOP + COMMIT, () -> {
                if (!led || cutOff) {
                    return null;
                }
                ledger.apply(CrashCommand.seen(now, ended, survived));
                tell();
                return ledger.version();
            });
        }

        @Override
        public Mono<Trial> mayTry(RequestDigest digest) {
            return cutOff ? Mono.empty() : Mono.just(new Trial(ledger.apply(CrashCommand.trial(now, digest)), 10_000));
        }
    }
}
