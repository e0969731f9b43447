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

import java.io.IOException;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.hallwall.serving.config.RequestKind;

/** How a scripted target responds to one run of a request. The head and the body carry the stamp of the run. */
enum ScriptedRun {
    EVENTS(200, (c, head, run) -> c.send(eventHead(head)).chunk(events(run)).send("0\r\n\r\n")),
    EVENT_THEN_RESET(
            200, (c, head, run) -> c.send(eventHead(head)).chunk(event(run)).reset()),
    PARTIAL_EVENT(
            200,
            (c, head, run) -> c.send(eventHead(head))
                    .chunk(event(run) + "id: " + (run.firstEvent() + 1) + "\nda")
                    .end()),
    GAP(
            200,
            (c, head, run) -> c.send(eventHead(head))
                    .chunk(event(run) + event(run.firstEvent() + 2, run.stamp()))
                    .send("0\r\n\r\n")),
    EVENT_THEN_SILENCE(
            200, (c, head, run) -> c.send(eventHead(head)).chunk(event(run)).awaitClose()),
    PARTIAL_EVENT_THEN_SILENCE(
            200,
            (c, head, run) -> c.send(eventHead(head))
                    .chunk(event(run) + "id: " + (run.firstEvent() + 1) + "\nda")
                    .awaitClose()),
    /** States that the stream has no more events. */
    NO_EVENT(200, (c, head, run) -> c.send(eventHead(head)).send("0\r\n\r\n")),
    HEAD_THEN_RESET(200, (c, head, run) -> c.send(eventHead(head)).reset()),
    RESET(0, (c, head, run) -> c.reset()),
    SILENCE(0, (c, head, run) -> c.awaitClose()),
    OK(200),
    NO_CONTENT(204, (c, head, run) -> c.send(head + "\r\n")),
    EMPTY_RESET_CONTENT(205, (c, head, run) -> c.send(head + "Content-Length: 0\r\n\r\n")),
    /** No response in the protocol: the status has no content. */
    RESET_CONTENT(205),
    RESET_CONTENT_WITH_EVENTS(
            205, (c, head, run) -> c.send(eventHead(head)).chunk(events(run)).send("0\r\n\r\n")),
    PARTIAL_CONTENT(206),
    NO_CONTENT_WITH_BYTES(204, (c, head, run) -> c.send(head + "Content-Length: 5\r\n\r\nhello")),
    NOT_MODIFIED(304, (c, head, run) -> c.send(head + "\r\n")),
    NOT_MODIFIED_WITH_BYTES(304, (c, head, run) -> c.send(head + "Content-Length: 5\r\n\r\nhello")),
    NOT_FOUND(404),
    ERROR(500),
    UNAVAILABLE(503),
    REJECTED(503, (c, head, run) -> c.send(head + "X-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy")),
    NOT_FOUND_WITH_EVENTS(
            404, (c, head, run) -> c.send(eventHead(head)).chunk(events(run)).send("0\r\n\r\n")),
    ERROR_WITH_EVENTS(
            500, (c, head, run) -> c.send(eventHead(head)).chunk(events(run)).send("0\r\n\r\n"));

    private static final int TOTAL_EVENTS = 3;

    private final int status;
    private final Response response;

    ScriptedRun(int status) {
        this(
                status,
                (c, head, run) -> c.send(head + "Content-Length: " + run.stamp().length() + "\r\n\r\n" + run.stamp()));
    }

    ScriptedRun(int status, Response response) {
        this.status = status;
        this.response = response;
    }

    /** Writes a response. */
    private interface Response {

        void write(ScriptedTarget.Connection c, String head, Run run) throws IOException;
    }

    /**
     * A run of a request.
     *
     * @param stamp the stamp
     * @param how the response
     * @param firstEvent the event that follows the last one that the caller has received
     */
    record Run(String stamp, ScriptedRun how, int firstEvent) {

        static Run of(ScriptedTarget.Request r, String stamp, ScriptedRun how) {
            return new Run(stamp, how, Integer.parseInt(r.headers().getOrDefault("last-event-id", "0")) + 1);
        }

        void respond(ScriptedTarget.Connection to) throws IOException {
            String head = "HTTP/1.1 " + how.status + " Status\r\nX-Attempt: ATTEMPT\r\nX-Stamp: " + stamp + "\r\n";
            how.response.write(to, head, this);
        }

        /** Returns the body that a caller must get who gets the whole response. */
        String body() {
            return switch (how) {
                case NO_CONTENT,
                        NO_CONTENT_WITH_BYTES,
                        NOT_MODIFIED,
                        NOT_MODIFIED_WITH_BYTES,
                        EMPTY_RESET_CONTENT,
                        NO_EVENT -> "";
                case EVENTS, ERROR_WITH_EVENTS, NOT_FOUND_WITH_EVENTS -> events(this);
                default -> stamp;
            };
        }
    }

    int status() {
        return status;
    }

    /** Returns whether the target completes its response. */
    boolean isWhole() {
        return switch (this) {
            case EVENT_THEN_RESET,
                    PARTIAL_EVENT,
                    GAP,
                    EVENT_THEN_SILENCE,
                    PARTIAL_EVENT_THEN_SILENCE,
                    HEAD_THEN_RESET,
                    RESET,
                    SILENCE,
                    RESET_CONTENT,
                    RESET_CONTENT_WITH_EVENTS,
                    REJECTED -> false;
            default -> true;
        };
    }

    /** Returns whether a request of a kind ends with this response, whatever other targets would respond. */
    boolean isFinal(RequestKind kind) {
        return isWhole() && status < 500 && (this != NO_EVENT || kind != RequestKind.STREAM);
    }

    /** Returns whether the target stops without closing the connection. */
    boolean isSilent() {
        return this == SILENCE || this == EVENT_THEN_SILENCE || this == PARTIAL_EVENT_THEN_SILENCE;
    }

    /** Returns whether the target has sent something of an event after the last complete one. */
    boolean showsFurtherEvent() {
        return this == PARTIAL_EVENT || this == PARTIAL_EVENT_THEN_SILENCE || this == GAP;
    }

    /** Returns whether the run has events for the caller. */
    boolean hasEvents() {
        return switch (this) {
            case EVENTS, EVENT_THEN_RESET, PARTIAL_EVENT, GAP, EVENT_THEN_SILENCE, PARTIAL_EVENT_THEN_SILENCE -> true;
            default -> false;
        };
    }

    private static String eventHead(String head) {
        return head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    private static String event(Run run) {
        return event(run.firstEvent(), run.stamp());
    }

    private static String event(int id, String stamp) {
        return "id: " + id + "\ndata: " + stamp + "\n\n";
    }

    private static String events(Run run) {
        return IntStream.rangeClosed(run.firstEvent(), TOTAL_EVENTS)
                .mapToObj(i -> event(i, run.stamp()))
                .collect(Collectors.joining());
    }
}
