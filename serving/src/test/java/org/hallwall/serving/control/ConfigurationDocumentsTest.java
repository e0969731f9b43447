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

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.hallwall.serving.config.CallerLimits;
import org.hallwall.serving.config.Configuration;
import org.hallwall.serving.config.ConfigurationDocument;
import org.hallwall.serving.config.ConfigurationException;
import org.hallwall.serving.config.ConfigurationValidator;
import org.hallwall.serving.config.VersionedDocument;
import org.hallwall.serving.target.FeedMessage;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Guards against an entry that receives the whole configuration for a small change, or a difference that it cannot apply. */
class ConfigurationDocumentsTest {

    private static final int ROUTES = 200;

    private final ConfigurationStateMachine machine = new ConfigurationStateMachine(this::update);
    private final ConfigurationDocuments documents =
            new ConfigurationDocuments(machine, ConfigurationDocumentsTest::read);
    private final List<String> routes = new ArrayList<>();
    private long index;

    ConfigurationDocumentsTest() {
        Random random = new Random(1);
        for (int i = 0; i < ROUTES; i++) {
            routes.add("{\"name\":\"" + Long.toHexString(random.nextLong()) + "\"}");
        }
    }

    private static Configuration read(ConfigurationDocument document) {
        return new Configuration(document.length(), List.of(), Map.of(), List.of(), CallerLimits.DEFAULT);
    }

    private byte[] bytes(long version) {
        return ("{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private void accept(long version) {
        routes.set((int) (version % ROUTES), "{\"name\":\"" + version + "\"}");
        machine.apply(++index, ConfigurationStateMachine.command(version, Gzip.compress(bytes(version))));
    }

    private void update() {
        documents.update();
    }

    private FeedMessage.Changes poll(long version, long checksum) {
        FeedMessage.Poll poll = new FeedMessage.Poll("b", 0, -1, version, 50, Map.of(), 0, checksum, null, null, null);
        FeedMessage.Changes empty = new FeedMessage.Changes(
                "b", 0, List.of(), null, 0, List.of(), 0, null, List.of(), 1, 1, null, null, null, null);
        return documents.addTo(poll, empty);
    }

    private VersionedDocument receive(VersionedDocument known, FeedMessage.Changes answer) throws Exception {
        return answer.configurationDelta() != null
                ? answer.configurationDelta().apply(known)
                : new VersionedDocument(
                        answer.configurationVersion(),
                        ConfigurationDocument.of(Gzip.decompress(answer.configuration()), known.document()));
    }

    @Test
    void receiverOfARecentVersionReceivesTheDifference() throws Exception {
        accept(10);
        FeedMessage.Changes first = poll(0, 0);
        Assertions.assertNull(first.configurationDelta());
        VersionedDocument known = receive(VersionedDocument.NONE, first);
        for (long version : new long[] {11, 15, 16}) {
            accept(version);
            FeedMessage.Changes answer = poll(known.version(), known.document().checksum());
            Assertions.assertNull(answer.configuration());
            Assertions.assertEquals(version, answer.configurationVersion());
            Assertions.assertTrue(answer.configurationDelta().newBytes() < bytes(version).length / 20);
            known = receive(known, answer);
            Assertions.assertArrayEquals(bytes(version), known.document().bytes());
        }
        Assertions.assertFalse(poll(16, known.document().checksum()).hasConfiguration());
        Assertions.assertEquals(16, poll(16, 0).configurationVersion());
    }

    @Test
    void receiverWithOtherBytesOrWithoutAChecksumReceivesTheWhole() throws Exception {
        accept(10);
        VersionedDocument known = receive(VersionedDocument.NONE, poll(0, 0));
        accept(11);
        for (FeedMessage.Changes answer :
                List.of(poll(10, 0), poll(10, known.document().checksum() + 1), poll(9, 1), poll(0, 0))) {
            Assertions.assertNull(answer.configurationDelta());
            Assertions.assertArrayEquals(bytes(11), Gzip.decompress(answer.configuration()));
        }
    }

    /** Entries usually receive a version from the first control instance that has it, so the others are asked for later ones only. */
    @Test
    void versionThatNoPollAskedForIsABase() throws Exception {
        accept(10);
        VersionedDocument known =
                new VersionedDocument(10, ConfigurationDocument.of(bytes(10), ConfigurationDocument.EMPTY));
        accept(11);
        FeedMessage.Changes answer = poll(10, known.document().checksum());
        Assertions.assertNotNull(answer.configurationDelta());
        Assertions.assertArrayEquals(
                bytes(11), receive(known, answer).document().bytes());
    }

    /** An entry of an earlier version names no checksum. */
    @Test
    void pollWithoutAChecksumReceivesTheWhole() throws Exception {
        accept(10);
        accept(11);
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
        byte[] earlier = mapper.writeValueAsBytes(Map.of(
                "boot",
                "b",
                "after",
                0,
                "heardAfter",
                -1,
                "configurationVersion",
                10,
                "waitMillis",
                50,
                "streams",
                Map.of(),
                "suspectsVersion",
                0));
        FeedMessage.Poll poll = mapper.readValue(earlier, FeedMessage.Poll.class);
        FeedMessage.Changes answer = poll(poll.configurationVersion(), poll.configurationChecksum());
        Assertions.assertNull(answer.configurationDelta());
        Assertions.assertArrayEquals(bytes(11), Gzip.decompress(answer.configuration()));
    }

    @Test
    void configurationThatDiffersEverywhereIsSentAsAWhole() throws Exception {
        accept(10);
        VersionedDocument known = receive(VersionedDocument.NONE, poll(0, 0));
        for (int i = 0; i < ROUTES; i++) {
            routes.set(i, "{\"name\":\"other " + i + "\"}");
        }
        accept(11);
        Assertions.assertNotNull(poll(10, known.document().checksum()).configuration());
    }

    @Test
    void proposalThatWasOvertakenIsNotServed() throws Exception {
        accept(10);
        VersionedDocument known = receive(VersionedDocument.NONE, poll(0, 0));
        byte[] overtaken = "{\"version\":11}".getBytes(StandardCharsets.UTF_8);
        documents.prepare(new VersionedDocument(11, documents.divide(overtaken)), Gzip.compress(overtaken));
        accept(11);
        VersionedDocument received = receive(known, poll(10, known.document().checksum()));
        Assertions.assertArrayEquals(bytes(11), received.document().bytes());
    }

    @Test
    void invalidConfigurationIsNotAccepted() throws ConfigurationException {
        ConfigurationDocument empty = documents.divide(new byte[0]);
        Assertions.assertThrows(ConfigurationException.class, () -> documents.validate(empty));
        ConfigurationDocument sound = documents.divide(bytes(1));
        ConfigurationValidator.validate(documents.validate(sound));
    }
}
