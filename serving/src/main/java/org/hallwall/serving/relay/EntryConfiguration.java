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

import org.hallwall.serving.config.Configuration;
import org.hallwall.serving.config.ConfigurationDelta;
import org.hallwall.serving.config.ConfigurationDocument;
import org.hallwall.serving.config.ConfigurationException;
import org.hallwall.serving.config.ConfigurationReader;
import org.hallwall.serving.config.RecentDocuments;
import org.hallwall.serving.config.VersionedDocument;
import org.hallwall.serving.control.Gzip;
import org.hallwall.serving.target.FeedMessage;

/** The configuration of an entry: reads the whole or a difference, and puts the result to use. */
final class EntryConfiguration implements ConfigurationUpdates.Activation {

    private final EntryState state;
    private final ConfigurationReader reader;
    private final RecentDocuments recent = new RecentDocuments();

    EntryConfiguration(EntryState state, ConfigurationReader reader) {
        this.state = state;
        this.reader = reader;
    }

    @Override
    public long activeVersion() {
        return state.routes().configuration().version();
    }

    @Override
    public long checksumOf(long version) {
        VersionedDocument newest = recent.newest();
        return newest.version() == version ? newest.document().checksum() : 0;
    }

    @Override
    public void activate(FeedMessage.Changes news) throws IOException, ConfigurationException {
        VersionedDocument document = news.configurationDelta() == null
                ? new VersionedDocument(
                        news.configurationVersion(),
                        ConfigurationDocument.of(
                                Gzip.decompress(news.configuration()),
                                recent.newest().document()))
                : applyDelta(news.configurationDelta());
        Configuration parsed = reader.read(document.document());
        // The version may be requested as a base as soon as it is in use.
        recent.add(document);
        state.applyConfiguration(parsed);
    }

    private VersionedDocument applyDelta(ConfigurationDelta delta) throws ConfigurationException {
        VersionedDocument base = recent.find(delta.baseVersion(), delta.baseChecksum());
        if (base == null) {
            throw new ConfigurationException("version " + delta.baseVersion() + ", from which version "
                    + delta.version() + " differs, is unknown");
        }
        return delta.apply(base);
    }
}
