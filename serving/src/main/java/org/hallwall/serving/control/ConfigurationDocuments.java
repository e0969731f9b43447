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
import java.util.Arrays;

import org.hallwall.serving.config.Configuration;
import org.hallwall.serving.config.ConfigurationDelta;
import org.hallwall.serving.config.ConfigurationDocument;
import org.hallwall.serving.config.ConfigurationException;
import org.hallwall.serving.config.ConfigurationReader;
import org.hallwall.serving.config.ConfigurationValidator;
import org.hallwall.serving.config.RecentDocuments;
import org.hallwall.serving.config.VersionedDocument;
import org.hallwall.serving.control.ConfigurationStateMachine.StoredConfiguration;
import org.hallwall.serving.target.FeedMessage;
import org.jboss.logging.Logger;

/** The accepted configurations as documents and in parsed form, each version decompressed and parsed at most once. */
final class ConfigurationDocuments {

    private static final Logger LOG = Logger.getLogger(ConfigurationDocuments.class);

    private final ConfigurationStateMachine stateMachine;
    private final ConfigurationReader reader;
    private final RecentDocuments recent = new RecentDocuments();
    private Prepared prepared;
    private ConfigurationDelta lastDelta;
    private Configuration parsed = Configuration.EMPTY;

    /**
     * Creates the documents of a state machine.
     *
     * @param stateMachine holds the accepted configuration
     * @param reader parses configurations
     */
    ConfigurationDocuments(ConfigurationStateMachine stateMachine, ConfigurationReader reader) {
        this.stateMachine = stateMachine;
        this.reader = reader;
    }

    /** Loads the accepted configuration, so that it can be the base of a difference even if no poll asks for it. */
    synchronized void update() {
        StoredConfiguration stored = stateMachine.current();
        try {
            load(stored);
        } catch (IOException e) {
            LOG.errorf(e, "configuration: version %d cannot be decompressed", stored.version());
        }
    }

    /**
     * Divides an operator's configuration into segments, which it shares with the accepted one.
     *
     * @param bytes the operator's bytes
     * @return the document
     */
    synchronized ConfigurationDocument divide(byte[] bytes) {
        return ConfigurationDocument.of(bytes, recent.newest().document());
    }

    /**
     * Parses and validates a document.
     *
     * @param document the document
     * @return the configuration
     * @throws ConfigurationException if it cannot be parsed or is not valid
     */
    Configuration validate(ConfigurationDocument document) throws ConfigurationException {
        Configuration result = reader.read(document);
        ConfigurationValidator.validate(result);
        return result;
    }

    /**
     * Keeps a document that is about to be proposed, so that it need not be decompressed once it is accepted.
     *
     * @param document the version
     * @param compressed its compressed bytes
     */
    synchronized void prepare(VersionedDocument document, byte[] compressed) {
        prepared = new Prepared(document, compressed);
    }

    /**
     * Returns the accepted configuration.
     *
     * @return the configuration; the last one that this instance could parse if it cannot parse the current one
     */
    synchronized Configuration configuration() {
        StoredConfiguration stored = stateMachine.current();
        if (stored.version() == parsed.version()) {
            return parsed;
        }
        try {
            parsed = reader.read(load(stored).document());
        } catch (IOException | ConfigurationException e) {
            LOG.errorf(e, "configuration: version %d cannot be parsed by this instance", stored.version());
        }
        return parsed;
    }

    /**
     * Adds the accepted configuration to an answer if the receiver has an older one.
     *
     * @param poll the poll
     * @param answer the answer
     * @return the answer with the difference from the receiver's version, or with the whole if that is not known or smaller
     */
    FeedMessage.Changes addTo(FeedMessage.Poll poll, FeedMessage.Changes answer) {
        StoredConfiguration stored = stateMachine.current();
        if (stored.version() <= poll.configurationVersion()) {
            return answer.withConfiguration(stored.version(), null, null);
        }
        ConfigurationDelta delta = delta(poll, stored);
        return delta == null
                ? answer.withConfiguration(stored.version(), stored.compressed(), null)
                : answer.withConfiguration(stored.version(), null, delta);
    }

    private synchronized ConfigurationDelta delta(FeedMessage.Poll poll, StoredConfiguration stored) {
        VersionedDocument current;
        try {
            current = load(stored);
        } catch (IOException e) {
            LOG.errorf(e, "configuration: version %d cannot be decompressed", stored.version());
            return null;
        }
        VersionedDocument base = recent.find(poll.configurationVersion(), poll.configurationChecksum());
        if (base == null || current.document().length() > ConfigurationDocument.MAX_BYTES) {
            return null;
        }
        if (lastDelta == null || lastDelta.baseVersion() != base.version() || lastDelta.version() != stored.version()) {
            lastDelta = ConfigurationDelta.between(base, current);
        }
        return lastDelta.newBytes() < stored.compressed().length ? lastDelta : null;
    }

    private VersionedDocument load(StoredConfiguration stored) throws IOException {
        VersionedDocument newest = recent.newest();
        if (newest.version() == stored.version()) {
            return newest;
        }
        VersionedDocument loaded = prepared != null && prepared.matches(stored)
                ? prepared.document()
                : new VersionedDocument(
                        stored.version(),
                        ConfigurationDocument.of(Gzip.decompress(stored.compressed()), newest.document()));
        prepared = null;
        recent.add(loaded);
        return loaded;
    }

    /** A document that was proposed to the log. */
    private record Prepared(VersionedDocument document, byte[] compressed) {

        boolean matches(StoredConfiguration stored) {
            return document.version() == stored.version() && Arrays.equals(compressed, stored.compressed());
        }
    }
}
