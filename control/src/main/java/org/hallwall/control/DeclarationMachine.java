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
import org.hallwall.log.LogMachine;
import org.hallwall.resource.Resource;
import org.hallwall.resource.ResourceEvent;
import org.hallwall.resource.ResourceKind;
import org.hallwall.resource.ResourceMessage.Changes;

/**
 * The declared resources, driven by the log.
 *
 * <p>The log's thread writes; any thread reads. A change id is remembered for the last {@value #REMEMBERED_CHANGES}
 * changes, and the changes themselves for the last {@value #HISTORY}.
 */
public final class DeclarationMachine implements LogMachine {

    private static final int REMEMBERED_CHANGES = 4_096;
    private static final int HISTORY = 1_024;

    private final Map<String, Resource> resources = new TreeMap<>();
    private final Map<String, Remembered> changes = new LinkedHashMap<>();
    private final Map<String, String> formedDomains = new TreeMap<>();
    private final Deque<ResourceEvent> history = new ArrayDeque<>();
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
    private long applied;
    private long historyFloor;

    /**
     * Adds a listener that is told on the log's thread after each applied command.
     *
     * @param listener the listener; must not block
     */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    @Override
    public Object apply(long index, byte[] command) {
        DeclarationOutcome outcome = applyLocked(index, DeclarationCodec.read(command, DeclarationCommand.class));
        tellListeners();
        return outcome;
    }

    @Override
    public void skip(long index) {
        skipLocked(index);
        tellListeners();
    }

    @Override
    public synchronized byte[] snapshot() {
        return DeclarationCodec.write(new Saved(
                applied, List.copyOf(resources.values()), new LinkedHashMap<>(changes), new TreeMap<>(formedDomains)));
    }

    @Override
    public void restore(long index, byte[] state) {
        restoreLocked(index, state);
        tellListeners();
    }

    /**
     * Gives the index of the last applied command.
     *
     * @return the index
     */
    public synchronized long applied() {
        return applied;
    }

    /**
     * Finds a resource.
     *
     * @param kind its kind
     * @param name its name
     * @return the resource; null if there is none
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
     * Gives the changes after a version.
     *
     * @param after the version
     * @return the changes, or all resources if the version is too old; null if the version is the latest or newer
     */
    public synchronized Changes changesAfter(long after) {
        if (after >= applied) {
            return null;
        }
        if (isCompacted(after)) {
            return whole();
        }
        List<ResourceEvent> out = new ArrayList<>();
        for (ResourceEvent e : history) {
            if (e.version() > after) {
                out.add(e);
            }
        }
        return new Changes(applied, false, out);
    }

    /**
     * Says whether the changes after a version are no longer all remembered.
     *
     * @param after the version
     * @return true if a watch must begin with a list
     */
    public synchronized boolean isCompacted(long after) {
        return after < historyFloor;
    }

    private void tellListeners() {
        for (Runnable l : listeners) {
            l.run();
        }
    }

    private synchronized void skipLocked(long index) {
        applied = index;
    }

    private Changes whole() {
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
        Remembered earlier = c.changeId() == null ? null : changes.get(c.changeId());
        if (earlier != null) {
            return earlier.matches(c) ? earlier.outcome() : new DeclarationOutcome(Result.CHANGE_ID_REUSED, null, 0);
        }
        DeclarationOutcome outcome = decide(index, c);
        if (c.changeId() != null) {
            remember(c, outcome);
        }
        return outcome;
    }

    private DeclarationOutcome decide(long index, DeclarationCommand c) {
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
        record(new ResourceEvent(index, deleted, after));
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
            default -> throw new IllegalStateException("no resource changes by " + c.type());
        };
    }

    private void record(ResourceEvent event) {
        history.addLast(event);
        if (history.size() > HISTORY) {
            historyFloor = history.removeFirst().version();
        }
    }

    private void remember(DeclarationCommand c, DeclarationOutcome outcome) {
        changes.put(c.changeId(), new Remembered(c.type(), c.kind(), c.name(), c.spec(), outcome));
        if (changes.size() > REMEMBERED_CHANGES) {
            changes.remove(changes.keySet().iterator().next());
        }
    }

    private synchronized void restoreLocked(long index, byte[] state) {
        resources.clear();
        changes.clear();
        formedDomains.clear();
        history.clear();
        applied = index;
        historyFloor = index;
        if (state.length == 0) {
            return;
        }
        Saved saved = DeclarationCodec.read(state, Saved.class);
        for (Resource r : saved.resources()) {
            resources.put(key(r.kind(), r.name()), r);
        }
        changes.putAll(saved.changes());
        formedDomains.putAll(saved.formedDomains());
    }

    private static String key(ResourceKind kind, String name) {
        return kind.plural() + "/" + name;
    }

    /** What is remembered of a change, to answer when it is sent again. */
    record Remembered(
            DeclarationCommand.Type type, ResourceKind kind, String name, String spec, DeclarationOutcome outcome) {

        boolean matches(DeclarationCommand c) {
            return type == c.type() && kind == c.kind() && name.equals(c.name()) && Objects.equals(spec, c.spec());
        }
    }

    /** The content of a snapshot. */
    record Saved(
            long applied,
            List<Resource> resources,
            Map<String, Remembered> changes,
            Map<String, String> formedDomains) {}
}
