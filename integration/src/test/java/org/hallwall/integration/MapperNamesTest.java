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
package org.hallwall.integration;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Field;
import java.lang.reflect.ParameterizedType;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.BeanDescription;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.introspect.BeanPropertyDefinition;
import org.approvaltests.Approvals;
import org.hallwall.control.ControlJsonTypes;
import org.hallwall.core.settings.Json;
import org.hallwall.core.verdict.Problem;
import org.hallwall.domain.DomainMessage;
import org.hallwall.engine.Announcement;
import org.hallwall.engine.EngineOrder;
import org.hallwall.engine.EngineRun;
import org.hallwall.engine.RunCancelled;
import org.hallwall.engine.RunFrame;
import org.hallwall.entry.EntryJsonTypes;
import org.hallwall.entry.claim.ClaimMessage;
import org.hallwall.entry.exchange.ChatRequest;
import org.hallwall.entry.forward.ForwardJsonTypes;
import org.hallwall.entry.request.RequestJsonTypes;
import org.hallwall.fakes.FakeJsonTypes;
import org.hallwall.load.LoadJsonTypes;
import org.hallwall.log.DataFolder;
import org.hallwall.log.LogEntry;
import org.hallwall.log.LogMessage;
import org.hallwall.log.LogSnapshot;
import org.hallwall.log.LogVote;
import org.hallwall.log.ReplicaState;
import org.hallwall.platform.PlatformSettings;
import org.hallwall.program.ProcessUsage;
import org.hallwall.resource.ModelGroupSpec;
import org.hallwall.resource.Resource;
import org.hallwall.resource.ResourceMessage;
import org.hallwall.resource.ServiceSpec;
import org.hallwall.resource.WorkspaceSpec;
import org.hallwall.serving.control.ControlNode;
import org.hallwall.serving.crash.CrashJsonTypes;
import org.hallwall.serving.target.FeedMessage;
import org.hallwall.serving.target.TargetDirectory;
import org.hallwall.wire.PeerMessageTypes;
import org.junit.jupiter.api.Test;

/** Guards against accidental changes of the names used in peer messages, stored data, settings, dumps and metrics. */
class MapperNamesTest {

    private static final Path ROOT = Path.of("").toAbsolutePath().getParent();
    private static final Pattern METRIC = Pattern.compile("\"(hallwall_[a-z_]+)\"");
    private static final Pattern LABELS = Pattern.compile("\\.labelNames\\(([^)]*)\\)");

    private final ObjectMapper plainMapper = new ObjectMapper();

    @Test
    void peerMessages() {
        PeerMessageTypes messageTypes = new PeerMessageTypes();
        LogMessage.register(messageTypes);
        ResourceMessage.register(messageTypes);
        DomainMessage.register(messageTypes);
        ClaimMessage.register(messageTypes);
        FeedMessage.register(messageTypes);
        StringBuilder out = new StringBuilder();
        typesByNumber(messageTypes)
                .forEach((number, type) -> describeType(out, "message " + number, type, plainMapper));
        typesByNumber(ControlNode.messageTypes())
                .forEach(
                        (number, type) -> out.append("platform ").append(number).append('\n'));
        Approvals.verify(out.toString());
    }

    @Test
    void storedDataSettingsAndDumps() {
        Map<String, Class<?>> types = new TreeMap<>();
        types.putAll(ControlJsonTypes.types());
        types.putAll(EntryJsonTypes.types());
        types.putAll(RequestJsonTypes.types());
        types.putAll(ForwardJsonTypes.types());
        types.putAll(FakeJsonTypes.types());
        types.putAll(LoadJsonTypes.types());
        types.putAll(CrashJsonTypes.types());
        types.put("log entry", LogEntry.class);
        types.put("log folder", DataFolder.class);
        types.put("log vote", LogVote.class);
        types.put("log snapshot", LogSnapshot.class);
        types.put("log state in dumps", ReplicaState.class);
        types.put("member of the control plane", FeedMessage.ControlMember.class);
        types.put("settings of the platform's programs", PlatformSettings.class);
        types.put("resource", Resource.class);
        types.put("model group", ModelGroupSpec.class);
        types.put("workspace", WorkspaceSpec.class);
        types.put("service", ServiceSpec.class);
        types.put("problem", Problem.class);
        types.put("usage of a process", ProcessUsage.class);
        types.put("chat request", ChatRequest.class);
        types.put("announcement", Announcement.class);
        types.put("order", EngineOrder.class);
        types.put("run", EngineRun.class);
        types.put("frame of a run", RunFrame.class);
        types.put("answer to a cancelled run", RunCancelled.class);
        types.put("target in dumps", TargetDirectory.AnnouncedTarget.class);
        StringBuilder out = new StringBuilder();
        types.forEach((what, type) -> describeType(out, what, type, Json.MAPPER));
        Approvals.verify(out.toString());
    }

    @Test
    void metrics() throws IOException {
        TreeSet<String> names = new TreeSet<>();
        try (Stream<Path> files = Files.walk(ROOT)) {
            files.filter(f -> f.toString().endsWith(".java") && f.toString().contains("src/main"))
                    .forEach(f -> addMetrics(names, f));
        }
        Approvals.verify(String.join("\n", names) + "\n");
    }

    private static void addMetrics(TreeSet<String> names, Path file) {
        try {
            String text = Files.readString(file);
            Matcher metrics = METRIC.matcher(text);
            while (metrics.find()) {
                names.add(metrics.group(1));
            }
            Matcher labels = LABELS.matcher(text);
            while (labels.find()) {
                names.add("label " + labels.group(1).replaceAll("\\s+", " ").strip());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Map<Integer, Class<?>> typesByNumber(PeerMessageTypes messageTypes) {
        Map<Integer, Class<?>> out = new TreeMap<>();
        try {
            for (Field f : PeerMessageTypes.class.getDeclaredFields()) {
                if (f.getGenericType() instanceof ParameterizedType t
                        && t.getActualTypeArguments()[0] == Integer.class) {
                    f.setAccessible(true);
                    ((Map<?, ?>) f.get(messageTypes)).forEach((k, v) -> out.put((Integer) k, (Class<?>) v));
                }
            }
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
        return out;
    }

    private static void describeType(StringBuilder out, String what, Class<?> type, ObjectMapper mapper) {
        out.append(what).append('\n');
        describeProperties(out, mapper.constructType(type), mapper, new ArrayDeque<>());
    }

    private static void describeProperties(
            StringBuilder out, JavaType type, ObjectMapper mapper, Deque<Class<?>> path) {
        Class<?> raw = type.getRawClass();
        if (type.isContainerType() || type.isReferenceType()) {
            describeProperties(out, type.getContentType(), mapper, path);
            return;
        }
        if (!raw.getName().startsWith("org.hallwall") || path.contains(raw)) {
            return;
        }
        String indent = "  ".repeat(path.size() + 1);
        if (raw.isEnum()) {
            for (Object constant : raw.getEnumConstants()) {
                out.append(indent)
                        .append("one of ")
                        .append(((Enum<?>) constant).name())
                        .append('\n');
            }
            return;
        }
        path.push(raw);
        Map<String, JavaType> written = writtenProperties(type, mapper);
        Map<String, JavaType> read = readProperties(type, mapper);
        TreeSet<String> names = new TreeSet<>(written.keySet());
        names.addAll(read.keySet());
        for (String name : names) {
            String only = written.containsKey(name) ? read.containsKey(name) ? "" : " (written)" : " (read)";
            out.append(indent).append(name).append(only).append('\n');
            describeProperties(out, written.getOrDefault(name, read.get(name)), mapper, path);
        }
        path.pop();
    }

    private static Map<String, JavaType> writtenProperties(JavaType type, ObjectMapper mapper) {
        BeanDescription bean = mapper.getSerializationConfig().introspect(type);
        Map<String, JavaType> out = new TreeMap<>();
        if (bean.findJsonValueAccessor() == null) {
            for (BeanPropertyDefinition p : bean.findProperties()) {
                if (p.couldSerialize()) {
                    out.put(p.getName(), p.getAccessor().getType());
                }
            }
        }
        return out;
    }

    private static Map<String, JavaType> readProperties(JavaType type, ObjectMapper mapper) {
        BeanDescription bean = mapper.getDeserializationConfig().introspect(type);
        Map<String, JavaType> out = new TreeMap<>();
        if (bean.findJsonValueAccessor() == null) {
            for (BeanPropertyDefinition p : bean.findProperties()) {
                if (p.couldDeserialize()) {
                    out.put(p.getName(), p.getPrimaryType());
                }
            }
        }
        return out;
    }
}
