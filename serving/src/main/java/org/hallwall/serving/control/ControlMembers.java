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

import com.fasterxml.jackson.core.type.TypeReference;
import org.hallwall.core.settings.Json;
import org.hallwall.log.DurableFile;
import org.hallwall.log.LogStore;
import org.hallwall.log.LogStoreException;
import org.hallwall.serving.target.FeedMessage.ControlMember;
import org.hallwall.serving.target.FeedMessage.Members;
import org.hallwall.serving.target.FeedMessage.MembersQuestion;
import org.hallwall.wire.PeerLink;
import org.jboss.logging.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Finds out which control instances there are.
 *
 * <p>At the very first start they are the seeds, which are the same everywhere. Later the list lies beside the log. A blank
 * disk asks the seeds; the log then admits it like any voter that lost its disk.
 */
public final class ControlMembers {

    private static final Logger LOG = Logger.getLogger(ControlMembers.class);
    private static final String FILE = "members.json";
    /** How long one seed may take to answer, and how often all are asked again. */
    private static final Duration ASK_TIMEOUT = Duration.ofMillis(400);

    private final Path folder;

    /**
     * Creates the list's place.
     *
     * @param folder the data folder
     */
    public ControlMembers(Path folder) {
        this.folder = folder;
    }

    /**
     * Gives the list that is stored.
     *
     * @return the members; empty if none are stored
     * @throws LogStoreException if the file cannot be read
     */
    public List<ControlMember> stored() throws LogStoreException {
        Path file = folder.resolve(FILE);
        try {
            if (!Files.exists(file)) {
                return List.of();
            }
            return Json.MAPPER.readValue(file.toFile(), new TypeReference<List<ControlMember>>() {});
        } catch (IOException e) {
            LOG.warnf("control: the list of members cannot be read, seeds are asked: %s", e.getMessage());
            return List.of();
        }
    }

    /**
     * Forms the data folder of a new system.
     *
     * @param seeds the first members
     * @throws LogStoreException if it cannot be written
     */
    public void form(List<ControlMember> seeds) throws LogStoreException {
        store(seeds);
        LogStore.form(folder);
    }

    /**
     * Stores the list.
     *
     * @param members the members
     * @throws LogStoreException if it cannot be written
     */
    public void store(List<ControlMember> members) throws LogStoreException {
        try {
            Files.createDirectories(folder);
            DurableFile.replace(folder, FILE, ByteBuffer.wrap(Json.MAPPER.writeValueAsBytes(members)));
        } catch (IOException e) {
            throw new LogStoreException("the list of members cannot be written", e);
        }
    }

    /**
     * Asks the seeds until one knows the members.
     *
     * @param question the question
     * @param seeds links to the seeds
     * @return the members
     */
    public static List<ControlMember> ask(MembersQuestion question, List<PeerLink> seeds) {
        while (true) {
            Members found = Flux.fromIterable(seeds)
                    .flatMap(l -> l.call(question, ASK_TIMEOUT)
                            .cast(Members.class)
                            .filter(m -> !m.members().isEmpty())
                            .onErrorResume(e -> Mono.empty()))
                    .blockFirst();
            if (found != null) {
                return found.members();
            }
            LOG.infof("control: no seed knows the members yet");
            Mono.delay(ASK_TIMEOUT).block();
        }
    }
}
