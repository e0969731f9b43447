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
 * Selects the log lines that relate to one request: the lines of the request, the lines on the targets and groups that it was
 * sent to around that time, and earlier lines on crashes and target notices that explain its outcome.
 */
final class RequestTrace {

    /** Window before the first line of a request; a group failure reaches all entries within this time. */
    private static final Duration LOOKBACK = Duration.ofSeconds(3);
    /** Window after the last line of a request, for delayed probe results and clock skew. */
    private static final Duration LOOKAHEAD = Duration.ofSeconds(1);
    /** Target and group of a failed attempt: "attempt at TARGET of GROUP failed". */
    private static final Pattern FAILED_ATTEMPT = Pattern.compile("attempt at (\\S+?)(?: of (\\S+))? failed");

    /** Digest that identifies retries of a request, or a prompt part that is held: "attempt 2 of DIGEST", "held back as DIGEST:". */
    private static final Pattern DIGEST =
            Pattern.compile("(?:attempt \\d+ of|held back as) ([0-9a-f]{32}|part-[0-9a-f]+)");

    /** Target that sent the response: "from TARGET, first after", "from TARGET on connection". */
    private static final Pattern RESPONSE = Pattern.compile(" from (\\S+?)(?:, first after| on connection)");
    /** Logged for a request that is rejected because every target backs off, drains or is rate-limited. */
    private static final Pattern NO_TARGET_AVAILABLE = Pattern.compile("no target is left, 0 of [0-9]+ are available");
    /** Logged by an entry when a target announces a backoff, draining or a rate limit. */
    private static final Pattern TARGET_NOTICE =
            Pattern.compile("^targets: \\S+ (?:backs off for \\d+ ms|is draining|names |has named )");
    /** Longest backoff of a target; older notices are not included, although a rate limit may last longer. */
    private static final Duration MAX_BACKOFF = Duration.ofMinutes(5);
    /** Periodic summary of the controller on the serving groups. */
    private static final Pattern SERVING_SUMMARY = Pattern.compile("^groups: .* serve, idle by fabric domain");

    private final String requestId;

    RequestTrace(String requestId) {
        this.requestId = requestId;
    }

    /**
     * Selects the lines that relate to the request.
     *
     * @param all the log lines of all processes
     * @return the related lines ordered by timestamp; empty if no line names the request
     */
    List<LogLine> select(List<LogLine> all) {
        List<LogLine> requestLines = all.stream().filter(this::belongsToRequest).toList();
        if (requestLines.isEmpty()) {
            return List.of();
        }
        Instant from = requestLines.stream()
                .map(LogLine::timestamp)
                .min(Comparator.naturalOrder())
                .orElseThrow()
                .minus(LOOKBACK);
        Instant to = requestLines.stream()
                .map(LogLine::timestamp)
                .max(Comparator.naturalOrder())
                .orElseThrow()
                .plus(LOOKAHEAD);
        Set<String> names = targetsAndGroups(requestLines);
        Set<String> digests = digests(requestLines);
        List<LogLine> out = new ArrayList<>();
        Set<String> rejecting = rejectingProcesses(requestLines);
        for (LogLine line : all) {
            boolean inTime =
                    !line.timestamp().isBefore(from) && !line.timestamp().isAfter(to);
            if (belongsToRequest(line)
                    || (inTime && mentionsAny(line, names))
                    || isRelatedCrash(line, digests)
                    || rejecting.contains(line.process()) && isRecentNotice(line, to)) {
                out.add(line);
            }
        }
        out.sort(Comparator.comparing(LogLine::timestamp));
        return out;
    }

    private boolean belongsToRequest(LogLine line) {
        return line.message().startsWith("request " + requestId + ":")
                || line.message().startsWith("request " + requestId + " ");
    }

    private static boolean mentionsAny(LogLine line, Set<String> names) {
        if (line.message().startsWith("request ")) {
            return false;
        }
        return SERVING_SUMMARY.matcher(line.message()).find()
                || names.stream().anyMatch(n -> containsName(line.message(), n));
    }

    /** Matches crash lines of any age, since a crash may be attributed to an earlier attempt of the request. */
    private static boolean isRelatedCrash(LogLine line, Set<String> digests) {
        return line.message().startsWith("crashes: ") && digests.stream().anyMatch(line.message()::contains);
    }

    /** Matches target notices that may still have been in effect when the request was rejected. */
    private static boolean isRecentNotice(LogLine line, Instant to) {
        return TARGET_NOTICE.matcher(line.message()).find()
                && !line.timestamp().isAfter(to)
                && !line.timestamp().isBefore(to.minus(MAX_BACKOFF));
    }

    /** Returns the processes that rejected the request because no target was available. */
    private static Set<String> rejectingProcesses(List<LogLine> requestLines) {
        Set<String> out = new LinkedHashSet<>();
        for (LogLine line : requestLines) {
            if (NO_TARGET_AVAILABLE.matcher(line.message()).find()) {
                out.add(line.process());
            }
        }
        return out;
    }

    private static Set<String> digests(List<LogLine> requestLines) {
        Set<String> out = new LinkedHashSet<>();
        for (LogLine line : requestLines) {
            Matcher digest = DIGEST.matcher(line.message());
            while (digest.find()) {
                out.add(digest.group(1));
            }
        }
        return out;
    }

    private static boolean containsName(String message, String name) {
        return Pattern.compile("(?<![\\w-])" + Pattern.quote(name) + "(?![\\w-])")
                .matcher(message)
                .find();
    }

    private static Set<String> targetsAndGroups(List<LogLine> requestLines) {
        Set<String> out = new LinkedHashSet<>();
        for (LogLine line : requestLines) {
            Matcher attempt = FAILED_ATTEMPT.matcher(line.message());
            while (attempt.find()) {
                out.add(attempt.group(1));
                if (attempt.group(2) != null) {
                    out.add(attempt.group(2));
                }
            }
            Matcher response = RESPONSE.matcher(line.message());
            while (response.find()) {
                out.add(response.group(1));
            }
        }
        out.remove("-");
        return out;
    }
}
