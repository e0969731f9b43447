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
package org.hallwall.serving.control;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.type.TypeReference;
import org.hallwall.core.settings.Json;
import org.hallwall.log.DurableFile;
import org.hallwall.log.LogStore;
import org.hallwall.log.LogStoreException;
import org.hallwall.serving.target.FeedMessage.ControlMember;
import org.hallwall.serving.target.FeedMessage.Members;
import org.hallwall.serving.target.FeedMessage.MembersRequest;
import org.hallwall.wire.PeerLink;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * The persistent list of control instances, and its discovery through the seeds.
 *
 * <p>At the first start of the system the members are the seeds, which are the same on all instances. Afterwards the list is stored
 * in the data folder. An instance without a stored list queries the seeds; the log then admits it like a voter that lost its disk.
 */
public final class ControlMembers {

    private static final Logger LOG = Logger.getLogger(ControlMembers.class);
    private static final String FILE_NAME = "members.json";
    /** The response timeout of a seed, and the delay before all seeds are queried again. */
    private static final Duration QUERY_TIMEOUT = Duration.ofMillis(400);

    private final Path folder;

    /**
     * Creates the list in a data folder.
     *
     * @param folder the data folder
     */
    public ControlMembers(Path folder) {
        this.folder = folder;
    }

    /**
     * Returns whether a list is stored, so that the system does not start for the first time.
     *
     * @return true if there is a list
     */
    public boolean isStored() {
        return Files.exists(folder.resolve(FILE_NAME));
    }

    /**
     * Returns the stored list.
     *
     * @return the members; empty if no list is stored or the file cannot be read
     * @throws LogStoreException declared but not thrown
     */
    public List<ControlMember> load() throws LogStoreException {
        Path file = folder.resolve(FILE_NAME);
        try {
            if (!Files.exists(file)) {
                return List.of();
            }
            return Json.MAPPER.readValue(file.toFile(), new TypeReference<List<ControlMember>>() {});
        } catch (IOException e) {
            LOG.warnf("control: the list of members cannot be read, querying the seeds: %s", e.getMessage());
            return List.of();
        }
    }

    /**
     * Initializes the data folder of a new system.
     *
     * @param seeds the initial members
     * @throws LogStoreException if the folder cannot be written
     */
    public void initialize(List<ControlMember> seeds) throws LogStoreException {
        store(seeds);
        LogStore.form(folder);
    }

    /**
     * Stores the list.
     *
     * @param members the members
     * @throws LogStoreException if the file cannot be written
     */
    public void store(List<ControlMember> members) throws LogStoreException {
        try {
            Files.createDirectories(folder);
            DurableFile.replace(folder, FILE_NAME, ByteBuffer.wrap(Json.MAPPER.writeValueAsBytes(members)));
        } catch (IOException e) {
            throw new LogStoreException("the list of members cannot be written", e);
        }
    }

    /**
     * Queries the seeds until one returns the members.
     *
     * @param request the query
     * @param seeds returns links to the seeds, which may change while none responds
     * @return the members
     */
    public static List<ControlMember> discover(MembersRequest request, Supplier<List<PeerLink>> seeds) {
        while (true) {
            Members found = Flux.fromIterable(seeds.get())
                    .flatMap(l -> l.call(request, QUERY_TIMEOUT)
                            .cast(Members.class)
                            .filter(m -> !m.members().isEmpty())
                            .onErrorResume(e -> Mono.empty()))
                    .blockFirst();
            if (found != null) {
                return found.members();
            }
            LOG.infof("control: no seed has returned the members yet");
            Mono.delay(QUERY_TIMEOUT).block();
        }
    }
}
