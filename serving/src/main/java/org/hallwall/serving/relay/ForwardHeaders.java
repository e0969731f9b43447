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

import java.util.List;

import io.netty.handler.codec.http.HttpHeaders;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.verdict.Verdict;

/** The headers between two entries of a forwarded request. They are neither accepted from clients nor sent to targets. */
final class ForwardHeaders {

    private static final String SENDER = "Hallwall-Forward-Sender";
    private static final String SERVICE = "Hallwall-Forward-Service";
    private static final String PRIORITY = "Hallwall-Forward-Priority";
    private static final String LIKELY_RETRY = "Hallwall-Forward-Likely-Retry";
    /** In a request, for entries of earlier versions: all but one of the runs that the route allows. */
    private static final String RUN_COUNT = "Hallwall-Forward-Run-Count";
    /** The attempts that have reached targets: before the request, and in a response, after it. */
    private static final String HISTORY = "Hallwall-Forward-History";

    private static final String CONFIGURATION = "Hallwall-Forward-Configuration";
    /** In a response: present if the entry refuses the request, or has failed to get a response from a target. */
    private static final String VERDICT = "Hallwall-Forward-Verdict";

    private ForwardHeaders() {}

    /**
     * A forwarded request, as its sender describes it.
     *
     * @param sender the entry that has received the request from the client
     * @param service the service that the sender has selected
     * @param priority the priority
     * @param likelyRetry whether it is likely a retry
     * @param history its attempts before
     * @param configurationVersion the configuration by which the sender has accepted it
     */
    record Forwarded(
            InstanceId sender,
            String service,
            int priority,
            boolean likelyRetry,
            RequestHistory history,
            long configurationVersion) {}

    /**
     * Writes the headers of a request for another entry.
     *
     * @param to the headers
     * @param f the description
     * @param maxAttempts the runs that the route allows
     */
    static void write(HttpHeaders to, Forwarded f, int maxAttempts) {
        to.set(SENDER, f.sender().value());
        to.set(SERVICE, f.service());
        to.set(PRIORITY, f.priority());
        to.set(LIKELY_RETRY, f.likelyRetry());
        to.set(RUN_COUNT, maxAttempts - 1);
        to.set(HISTORY, f.history().format());
        to.set(CONFIGURATION, f.configurationVersion());
    }

    /**
     * Reads the headers of a request from another entry.
     *
     * @param from the headers
     * @return the description
     * @throws RelayRefusal if a header is missing or malformed
     */
    static Forwarded read(HttpHeaders from) throws RelayRefusal {
        try {
            return new Forwarded(
                    new InstanceId(from.get(SENDER)),
                    from.get(SERVICE),
                    Integer.parseInt(from.get(PRIORITY)),
                    Boolean.parseBoolean(from.get(LIKELY_RETRY)),
                    readHistoryOfRequest(from),
                    Long.parseLong(from.get(CONFIGURATION)));
        } catch (IllegalArgumentException | NullPointerException e) {
            throw new RelayRefusal(400, Verdict.NOT_RUN, "malformed headers of a forwarded request", 0);
        }
    }

    /** An entry of an earlier version sends the number of runs only. */
    private static RequestHistory readHistoryOfRequest(HttpHeaders from) {
        String text = from.get(HISTORY);
        return text == null
                ? new RequestHistory(List.of(), Integer.parseInt(from.get(RUN_COUNT)))
                : RequestHistory.parse(text);
    }

    static void writeHistory(HttpHeaders to, RequestHistory history) {
        to.set(HISTORY, history.format());
    }

    /** Returns the history that an entry has sent with a request or a response; null if there is none or it is malformed. */
    static RequestHistory readHistory(HttpHeaders from) {
        String text = from.get(HISTORY);
        try {
            return text == null ? null : RequestHistory.parse(text);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    /** Returns whether a request claims to come from another entry; such a request gets the verdict of a refusal. */
    static boolean isForwarded(HttpHeaders from) {
        return from.contains(SENDER);
    }

    static void remove(HttpHeaders from) {
        from.remove(SENDER);
        from.remove(SERVICE);
        from.remove(PRIORITY);
        from.remove(LIKELY_RETRY);
        from.remove(RUN_COUNT);
        from.remove(HISTORY);
        from.remove(CONFIGURATION);
        from.remove(VERDICT);
    }

    static void writeVerdict(HttpHeaders to, Verdict verdict) {
        to.set(VERDICT, verdict.name());
    }

    /** Returns the verdict of a refusal, or null if the response is that of a target. */
    static Verdict readVerdict(HttpHeaders from) {
        String text = from.get(VERDICT);
        if (text == null) {
            return null;
        }
        try {
            return Verdict.valueOf(text);
        } catch (IllegalArgumentException e) {
            return Verdict.MAY_HAVE_RUN;
        }
    }
}
