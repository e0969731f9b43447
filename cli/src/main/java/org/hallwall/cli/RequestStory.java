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
package org.hallwall.cli;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Puts together what the logs of many processes say of one request: its own lines, and those on the targets and groups that it
 * was sent to, from shortly before its first line to shortly after its last.
 */
final class RequestStory {

    /** How long before a request's first line a cause may lie: a group that broke is known to all entries within this. */
    private static final Duration BEFORE = Duration.ofSeconds(3);
    /** How long after its last line a finding may come: probes, and clocks that differ. */
    private static final Duration AFTER = Duration.ofSeconds(1);
    /** Targets and groups in the lines of a request: "attempt at TARGET of GROUP failed", "from TARGET,". */
    private static final Pattern ATTEMPT = Pattern.compile("attempt at (\\S+?)(?: of (\\S+))? failed");

    /** What recognises a request that comes again: "attempt 2 of DIGEST", "held back as DIGEST:". */
    private static final Pattern DIGEST = Pattern.compile("(?:attempt \\d+ of|held back as) ([0-9a-f]{32})");

    private static final Pattern ANSWER = Pattern.compile(" from (\\S+?), first after");
    /** What a request says that found no target because of what targets had said. */
    private static final Pattern NONE_AVAILABLE = Pattern.compile("no target is left, 0 of [0-9]+ are available");
    /** What an entry writes when a target says so. */
    private static final Pattern ASKED =
            Pattern.compile("^targets: \\S+ (?:backs off for \\d+ ms|is draining|names |has named )");
    /** How long before a request a target may have said so; a limit may hold for longer. */
    private static final Duration LONGEST_BACKOFF = Duration.ofMinutes(5);
    /** The controller's regular line on what serves. */
    private static final Pattern SERVES = Pattern.compile("^groups: .* serve, idle by fabric domain");

    private final String requestId;

    RequestStory(String requestId) {
        this.requestId = requestId;
    }

    /**
     * Picks the lines that belong to the request.
     *
     * @param all the lines of all processes
     * @return the lines of its story in the order of their clocks; empty if no line names the request
     */
    List<LogLine> of(List<LogLine> all) {
        List<LogLine> own = all.stream().filter(this::isOwn).toList();
        if (own.isEmpty()) {
            return List.of();
        }
        Instant from = own.stream()
                .map(LogLine::at)
                .min(Comparator.naturalOrder())
                .orElseThrow()
                .minus(BEFORE);
        Instant to = own.stream()
                .map(LogLine::at)
                .max(Comparator.naturalOrder())
                .orElseThrow()
                .plus(AFTER);
        Set<String> names = names(own);
        Set<String> digests = digests(own);
        List<LogLine> out = new ArrayList<>();
        Set<String> refusing = processes(own);
        for (LogLine line : all) {
            boolean inTime = !line.at().isBefore(from) && !line.at().isAfter(to);
            if (isOwn(line)
                    || (inTime && isAbout(line, names))
                    || tellsOfCrashes(line, digests)
                    || refusing.contains(line.process()) && tellsOfNotices(line, to)) {
                out.add(line);
            }
        }
        out.sort(Comparator.comparing(LogLine::at));
        return out;
    }

    private boolean isOwn(LogLine line) {
        return line.message().startsWith("request " + requestId + ":")
                || line.message().startsWith("request " + requestId + " ");
    }

    private static boolean isAbout(LogLine line, Set<String> names) {
        if (line.message().startsWith("request ")) {
            return false;
        }
        return SERVES.matcher(line.message()).find() || names.stream().anyMatch(n -> namesIt(line.message(), n));
    }

    /** What is known of a request that comes again was seen when it came before, however long ago. */
    private static boolean tellsOfCrashes(LogLine line, Set<String> digests) {
        return line.message().startsWith("crashes: ") && digests.stream().anyMatch(line.message()::contains);
    }

    /** Each entry goes by what targets have told it. */
    private static boolean tellsOfNotices(LogLine line, Instant to) {
        return ASKED.matcher(line.message()).find()
                && !line.at().isAfter(to)
                && !line.at().isBefore(to.minus(LONGEST_BACKOFF));
    }

    /** Gives the processes that refused the request since no target was available. */
    private static Set<String> processes(List<LogLine> own) {
        Set<String> out = new LinkedHashSet<>();
        for (LogLine line : own) {
            if (NONE_AVAILABLE.matcher(line.message()).find()) {
                out.add(line.process());
            }
        }
        return out;
    }

    private static Set<String> digests(List<LogLine> own) {
        Set<String> out = new LinkedHashSet<>();
        for (LogLine line : own) {
            Matcher digest = DIGEST.matcher(line.message());
            while (digest.find()) {
                out.add(digest.group(1));
            }
        }
        return out;
    }

    private static boolean namesIt(String message, String name) {
        return Pattern.compile("(?<![\\w-])" + Pattern.quote(name) + "(?![\\w-])")
                .matcher(message)
                .find();
    }

    private static Set<String> names(List<LogLine> own) {
        Set<String> out = new LinkedHashSet<>();
        for (LogLine line : own) {
            Matcher attempt = ATTEMPT.matcher(line.message());
            while (attempt.find()) {
                out.add(attempt.group(1));
                if (attempt.group(2) != null) {
                    out.add(attempt.group(2));
                }
            }
            Matcher answer = ANSWER.matcher(line.message());
            while (answer.find()) {
                out.add(answer.group(1));
            }
        }
        out.remove("-");
        return out;
    }
}
