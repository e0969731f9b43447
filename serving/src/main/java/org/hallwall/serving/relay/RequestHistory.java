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

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.hallwall.core.id.InstanceId;

/**
 * The attempts of a request that have reached targets, at all entries that have worked on it. A forwarded request carries it, and the
 * response brings it back.
 *
 * @param contacts the targets reached, in order
 * @param unknownRuns the runs that may have been started at unknown targets
 */
record RequestHistory(List<Contact> contacts, int unknownRuns) {

    /** The history of a request that has reached no target. */
    static final RequestHistory EMPTY = new RequestHistory(List.of(), 0);

    private static final String SEPARATOR = ";";

    /** What became of a request at a target. */
    enum Outcome {
        /** The target has rejected the request without running it. */
        REJECTED(false, false),
        /** The target has started to respond; the rest of the response may have been lost between entries. */
        STARTED(false, false),
        /** The target has run the request without success, or may have run it. */
        RAN(false, false),
        /** The target closed the connection after it had established the response. */
        DISCONNECTED(true, false),
        /** The target closed the connection before it had established the response. */
        DISCONNECTED_AT_START(true, true);

        private final boolean disconnected;
        private final boolean atStart;

        Outcome(boolean disconnected, boolean atStart) {
            this.disconnected = disconnected;
            this.atStart = atStart;
        }
    }

    /**
     * A target that the request has reached.
     *
     * @param target the target
     * @param outcome what became of the request
     */
    record Contact(InstanceId target, Outcome outcome) {}

    RequestHistory {
        contacts = List.copyOf(contacts);
    }

    /** Returns a history with one more contact. */
    RequestHistory with(InstanceId target, Outcome outcome) {
        List<Contact> out = new ArrayList<>(contacts);
        out.add(new Contact(target, outcome));
        return new RequestHistory(out, unknownRuns);
    }

    /** Returns a history with one more run that may have been started at an unknown target. */
    RequestHistory withUnknownRun() {
        return new RequestHistory(contacts, unknownRuns + 1);
    }

    /** Returns a history with the run of an attempt in progress. */
    RequestHistory withRunInProgress(NextHop hop) {
        return hop.isEntry() ? withUnknownRun() : with(hop.target().instance(), Outcome.STARTED);
    }

    /** Returns a history without the run of an attempt in progress; see {@link #withRunInProgress}. */
    RequestHistory withoutRunInProgress(NextHop hop) {
        if (hop.isEntry()) {
            return new RequestHistory(contacts, Math.max(0, unknownRuns - 1));
        }
        List<Contact> out = new ArrayList<>(contacts);
        out.remove(new Contact(hop.target().instance(), Outcome.STARTED));
        return new RequestHistory(out, unknownRuns);
    }

    boolean isEmpty() {
        return contacts.isEmpty() && unknownRuns == 0;
    }

    /** Returns the number of runs that may have been started. */
    int runs() {
        return contacts.size() - rejections() + unknownRuns;
    }

    /** Returns the number of targets that have rejected the request without running it. */
    int rejections() {
        return (int)
                contacts.stream().filter(c -> c.outcome() == Outcome.REJECTED).count();
    }

    Set<InstanceId> targets() {
        return contacts.stream().map(Contact::target).collect(Collectors.toCollection(HashSet::new));
    }

    /** Returns the targets that have started to respond and are not known to have failed. */
    Set<InstanceId> startedAt() {
        Set<InstanceId> out = targets();
        for (Contact c : contacts) {
            if (c.outcome() != Outcome.STARTED) {
                out.remove(c.target());
            }
        }
        return out;
    }

    /** Returns the targets that have closed the connection of the request. */
    Set<InstanceId> disconnectedBy() {
        Set<InstanceId> out = new HashSet<>();
        for (Contact c : contacts) {
            if (c.outcome().disconnected) {
                out.add(c.target());
            }
        }
        return out;
    }

    /** Returns those of the targets that had not established the response. */
    Set<InstanceId> disconnectedAtStartBy() {
        Set<InstanceId> out = new HashSet<>();
        for (Contact c : contacts) {
            if (c.outcome().atStart) {
                out.add(c.target());
            }
        }
        return out;
    }

    /** Returns the text that {@link #parse} reads. */
    String format() {
        StringBuilder out = new StringBuilder(Integer.toString(unknownRuns));
        for (Contact c : contacts) {
            out.append(SEPARATOR).append(c.outcome().name()).append(' ').append(c.target());
        }
        return out.toString();
    }

    /**
     * Parses a history.
     *
     * @param text the text
     * @return the history
     * @throws IllegalArgumentException if the text is malformed
     */
    static RequestHistory parse(String text) {
        String[] fields = text.split(SEPARATOR);
        int unknownRuns = Integer.parseInt(fields[0]);
        if (unknownRuns < 0) {
            throw new IllegalArgumentException("negative number of runs: " + text);
        }
        List<Contact> contacts = new ArrayList<>();
        for (int i = 1; i < fields.length; i++) {
            String[] contact = fields[i].split(" ");
            if (contact.length != 2) {
                throw new IllegalArgumentException("malformed contact: " + fields[i]);
            }
            contacts.add(new Contact(new InstanceId(contact[1]), Outcome.valueOf(contact[0])));
        }
        return new RequestHistory(contacts, unknownRuns);
    }
}
