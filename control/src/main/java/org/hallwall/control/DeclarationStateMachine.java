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
package org.hallwall.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

import org.hallwall.control.DeclarationOutcome.Result;
import org.hallwall.log.StateMachine;
import org.hallwall.resource.Resource;
import org.hallwall.resource.ResourceEvent;
import org.hallwall.resource.ResourceKind;
import org.hallwall.resource.ResourceMessage.Changes;

/**
 * The replicated state machine that holds the declared resources.
 *
 * <p>Commands are applied by the log thread; reads are safe from any thread. The outcomes of the last
 * {@value #MAX_CHANGE_IDS} change ids are kept to answer retries, and the last {@value #MAX_EVENTS} events to serve
 * watches.
 */
public final class DeclarationStateMachine implements StateMachine {

    private static final int MAX_CHANGE_IDS = 4_096;
    private static final int MAX_EVENTS = 1_024;

    private final Map<String, Resource> resources = new TreeMap<>();
    private final Map<String, CompletedChange> completedChanges = new LinkedHashMap<>();
    private final Map<String, String> formedDomains = new TreeMap<>();
    private final Deque<ResourceEvent> events = new ArrayDeque<>();
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private long applied;
    private long compactedVersion;

    /**
     * Adds a listener that is called on the log thread after each applied command.
     *
     * @param listener the listener; must not block
     */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    @Override
    public Object apply(long index, byte[] command) {
        DeclarationOutcome outcome = applyLocked(index, DeclarationCodec.read(command, DeclarationCommand.class));
        notifyListeners();
        return outcome;
    }

    @Override
    public void skip(long index) {
        skipLocked(index);
        notifyListeners();
    }

    @Override
    public synchronized byte[] snapshot() {
        return DeclarationCodec.write(new Snapshot(
                applied,
                List.copyOf(resources.values()),
                new LinkedHashMap<>(completedChanges),
                new TreeMap<>(formedDomains)));
    }

    @Override
    public void restore(long index, byte[] state) {
        restoreLocked(index, state);
        notifyListeners();
    }

    /**
     * Returns the index of the last applied command.
     *
     * @return the index
     */
    public synchronized long applied() {
        return applied;
    }

    /**
     * Returns a resource.
     *
     * @param kind its kind
     * @param name its name
     * @return the resource; null if it does not exist
     */
    public synchronized Resource get(ResourceKind kind, String name) {
        return resources.get(key(kind, name));
    }

    /**
     * Lists the resources of a kind.
     *
     * @param kind the kind; null for all kinds
     * @return the resources, in order of kind and name
     */
    public synchronized List<Resource> list(ResourceKind kind) {
        List<Resource> out = new ArrayList<>();
        for (Resource r : resources.values()) {
            if (kind == null || r.kind() == kind) {
                out.add(r);
            }
        }
        return out;
    }

    /**
     * Returns the changes after a version.
     *
     * @param after the version
     * @return the changes, or all resources if the version is compacted; null if there are no newer changes
     */
    public synchronized Changes changesAfter(long after) {
        if (after >= applied) {
            return null;
        }
        if (isCompacted(after)) {
            return allResources();
        }
        List<ResourceEvent> out = new ArrayList<>();
        for (ResourceEvent e : events) {
            if (e.version() > after) {
                out.add(e);
            }
        }
        return new Changes(applied, false, out);
    }

    /**
     * Returns whether some changes after a version are no longer available.
     *
     * @param after the version
     * @return true if a watch must begin with a list
     */
    public synchronized boolean isCompacted(long after) {
        return after < compactedVersion;
    }

    private void notifyListeners() {
        for (Runnable l : listeners) {
            l.run();
        }
    }

    private synchronized void skipLocked(long index) {
        applied = index;
    }

    private Changes allResources() {
        List<ResourceEvent> all = new ArrayList<>();
        for (Resource r : resources.values()) {
            all.add(new ResourceEvent(r.resourceVersion(), false, r));
        }
        return new Changes(applied, true, all);
    }

    private synchronized DeclarationOutcome applyLocked(long index, DeclarationCommand c) {
        applied = index;
        if (c.type() == DeclarationCommand.Type.FORM_DOMAIN) {
            if (!c.spec().isEmpty()) {
                formedDomains.putIfAbsent(c.name(), c.spec());
            }
            return new DeclarationOutcome(Result.APPLIED, null, formedDomains.get(c.name()), 0);
        }
        CompletedChange earlier = c.changeId() == null ? null : completedChanges.get(c.changeId());
        if (earlier != null) {
            return earlier.matches(c) ? earlier.outcome() : new DeclarationOutcome(Result.CHANGE_ID_REUSED, null, 0);
        }
        DeclarationOutcome outcome = applyToResource(index, c);
        if (c.changeId() != null) {
            recordChange(c, outcome);
        }
        return outcome;
    }

    private DeclarationOutcome applyToResource(long index, DeclarationCommand c) {
        Resource before = resources.get(key(c.kind(), c.name()));
        long current = before == null ? 0 : before.resourceVersion();
        if (before == null && c.type() != DeclarationCommand.Type.PUT) {
            return new DeclarationOutcome(Result.NOT_FOUND, null, 0);
        }
        if (c.expectedVersion() != current) {
            return new DeclarationOutcome(Result.CONFLICT, before, current);
        }
        Resource after = after(index, c, before);
        boolean deleted = c.type() == DeclarationCommand.Type.DELETE;
        if (deleted) {
            resources.remove(key(c.kind(), c.name()));
        } else {
            resources.put(key(c.kind(), c.name()), after);
        }
        recordEvent(new ResourceEvent(index, deleted, after));
        return new DeclarationOutcome(Result.APPLIED, after, current);
    }

    private static Resource after(long index, DeclarationCommand c, Resource before) {
        return switch (c.type()) {
            case PUT ->
                new Resource(
                        c.kind(),
                        c.name(),
                        before == null ? 1 : before.generation() + 1,
                        index,
                        c.spec(),
                        before == null ? Map.of() : before.shares());
            case SHARE ->
                new Resource(
                        c.kind(), c.name(), before.generation(), before.resourceVersion(), before.spec(), c.shares());
            case DELETE -> before;
            default -> throw new IllegalStateException("unsupported command type " + c.type());
        };
    }

    private void recordEvent(ResourceEvent event) {
        events.addLast(event);
        if (events.size() > MAX_EVENTS) {
            compactedVersion = events.removeFirst().version();
        }
    }

    private void recordChange(DeclarationCommand c, DeclarationOutcome outcome) {
        completedChanges.put(c.changeId(), new CompletedChange(c.type(), c.kind(), c.name(), c.spec(), outcome));
        if (completedChanges.size() > MAX_CHANGE_IDS) {
            completedChanges.remove(completedChanges.keySet().iterator().next());
        }
    }

    private synchronized void restoreLocked(long index, byte[] state) {
        resources.clear();
        completedChanges.clear();
        formedDomains.clear();
        events.clear();
        applied = index;
        compactedVersion = index;
        if (state.length == 0) {
            return;
        }
        Snapshot snapshot = DeclarationCodec.read(state, Snapshot.class);
        for (Resource r : snapshot.resources()) {
            resources.put(key(r.kind(), r.name()), r);
        }
        completedChanges.putAll(snapshot.changes());
        formedDomains.putAll(snapshot.formedDomains());
    }

    private static String key(ResourceKind kind, String name) {
        return kind.plural() + "/" + name;
    }

    /** A completed change and its outcome, kept to answer retries of the same change. */
    record CompletedChange(
            DeclarationCommand.Type type, ResourceKind kind, String name, String spec, DeclarationOutcome outcome) {

        boolean matches(DeclarationCommand c) {
            return type == c.type() && kind == c.kind() && name.equals(c.name()) && Objects.equals(spec, c.spec());
        }
    }

    /** The content of a snapshot. */
    record Snapshot(
            long applied,
            List<Resource> resources,
            Map<String, CompletedChange> changes,
            Map<String, String> formedDomains) {}
}
