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

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.hallwall.serving.config.CallerLimits;
import org.hallwall.serving.config.Configuration;
import org.hallwall.serving.config.ConfigurationDelta;
import org.hallwall.serving.config.ConfigurationDocument;
import org.hallwall.serving.config.ConfigurationException;
import org.hallwall.serving.config.VersionedDocument;
import org.hallwall.serving.control.Gzip;
import org.hallwall.serving.target.FeedMessage;
import org.hallwall.serving.target.KnownConfiguration;
import org.hallwall.serving.target.TargetDirectory;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Guards against an entry that requests the whole configuration although a difference can be applied to what it has. */
class EntryConfigurationTest {

    private long version;
    private final EntryState state = new EntryState(new TargetDirectory(() -> 0));
    private final EntryConfiguration configuration = new EntryConfiguration(state, this::read);
    private final ConfigurationUpdates updates = new ConfigurationUpdates(configuration, () -> 0);

    private Configuration read(ConfigurationDocument document) {
        return new Configuration(version, List.of(), Map.of(), List.of(), CallerLimits.DEFAULT);
    }

    private static VersionedDocument document(int number, VersionedDocument previous) {
        byte[] bytes = ("{\"version\":" + number + ",\"routes\":[{\"n\":1}]}").getBytes(StandardCharsets.UTF_8);
        return new VersionedDocument(number, ConfigurationDocument.of(bytes, previous.document()));
    }

    private static FeedMessage.Changes update(VersionedDocument d, ConfigurationDelta delta) {
        byte[] whole = delta == null ? Gzip.compress(d.document().bytes()) : null;
        return new FeedMessage.Changes(
                "b", 0, List.of(), null, 0, List.of(), d.version(), whole, List.of(), 1, 1, null, delta, null, null);
    }

    private void receive(FeedMessage.Changes update) {
        version = update.configurationVersion();
        updates.markReceived(update);
        updates.apply(update);
    }

    @Test
    void checksumIsKnownAsSoonAsTheVersionIsInUse() {
        List<KnownConfiguration> polls = new ArrayList<>();
        state.addTargetListener(() -> polls.add(updates.known()));
        VersionedDocument first = document(1, VersionedDocument.NONE);
        VersionedDocument second = document(2, first);
        receive(update(first, null));
        receive(update(second, ConfigurationDelta.between(first, second)));
        Assertions.assertEquals(
                List.of(
                        new KnownConfiguration(1, first.document().checksum()),
                        new KnownConfiguration(2, second.document().checksum())),
                polls);
    }

    @Test
    void differenceFromAnEarlierVersionIsApplied() throws ConfigurationException {
        VersionedDocument first = document(1, VersionedDocument.NONE);
        VersionedDocument second = document(2, first);
        VersionedDocument third = document(3, second);
        receive(update(first, null));
        receive(update(second, ConfigurationDelta.between(first, second)));
        receive(update(third, ConfigurationDelta.between(first, third)));
        Assertions.assertEquals(3, configuration.activeVersion());
        Assertions.assertEquals(third.document().checksum(), configuration.checksumOf(3));
    }

    @Test
    void versionStaysInUseIfADifferenceCannotBeApplied() {
        VersionedDocument first = document(1, VersionedDocument.NONE);
        VersionedDocument other = document(7, VersionedDocument.NONE);
        VersionedDocument second = document(8, other);
        receive(update(first, null));
        receive(update(second, ConfigurationDelta.between(other, second)));
        Assertions.assertEquals(1, configuration.activeVersion());
        Assertions.assertEquals(new KnownConfiguration(1, 0), updates.known());
        receive(update(second, null));
        Assertions.assertEquals(new KnownConfiguration(8, second.document().checksum()), updates.known());
    }
}
