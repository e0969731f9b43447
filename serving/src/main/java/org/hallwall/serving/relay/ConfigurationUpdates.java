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

import org.hallwall.core.time.Ticker;
import org.hallwall.serving.config.ConfigurationException;
import org.hallwall.serving.target.FeedMessage;
import org.hallwall.serving.target.KnownConfiguration;
import org.jboss.logging.Logger;

/**
 * Applies the configurations that an entry receives. A version that is waiting to be applied is not requested again. One that could not
 * be applied is: at once as a whole if it was a difference, otherwise after a delay.
 */
final class ConfigurationUpdates {

    private static final Logger LOG = Logger.getLogger(ConfigurationUpdates.class);
    /** Time until a version that could not be applied is requested again, in milliseconds. */
    static final long RETRY_DELAY_MILLIS = 1_000;

    private final Activation activation;
    private final Ticker ticker;
    private long receivedVersion;
    private long receivedChecksum;
    private boolean wholeRequired;
    private boolean failed;
    private long failedAt;

    /**
     * Creates a component that has received nothing.
     *
     * @param activation puts a configuration to use
     * @param ticker the clock
     */
    ConfigurationUpdates(Activation activation, Ticker ticker) {
        this.activation = activation;
        this.ticker = ticker;
    }

    /** Puts a configuration to use. */
    interface Activation {

        /**
         * Returns the version in use.
         *
         * @return the version; zero if there is none
         */
        long activeVersion();

        /**
         * Returns the checksum of a configuration.
         *
         * @param version the version
         * @return the checksum; zero if no difference can be applied to that version
         */
        long checksumOf(long version);

        /**
         * Parses a configuration and puts it to use.
         *
         * @param news an update with a configuration
         * @throws IOException if it cannot be decompressed
         * @throws ConfigurationException if it is invalid, or a difference that cannot be applied
         */
        void activate(FeedMessage.Changes news) throws IOException, ConfigurationException;
    }

    /**
     * Returns the newest version that need not be sent again.
     *
     * @return the version, with a checksum if a difference can be applied to it
     */
    synchronized KnownConfiguration known() {
        if (failed && ticker.millis() - failedAt >= RETRY_DELAY_MILLIS) {
            forget();
        }
        long version = Math.max(receivedVersion, activation.activeVersion());
        if (wholeRequired) {
            return new KnownConfiguration(version, 0);
        }
        boolean waiting = version == receivedVersion && receivedChecksum != 0;
        return new KnownConfiguration(version, waiting ? receivedChecksum : activation.checksumOf(version));
    }

    /**
     * Records that an update is waiting to be applied.
     *
     * @param news the update
     */
    synchronized void markReceived(FeedMessage.Changes news) {
        if (news.hasConfiguration() && news.configurationVersion() > receivedVersion) {
            receivedVersion = news.configurationVersion();
            receivedChecksum = news.configurationDelta() == null
                    ? 0
                    : news.configurationDelta().checksum();
            failed = false;
        }
    }

    /** Has what was received, but is not in use, sent again. */
    synchronized void forget() {
        receivedVersion = 0;
        failed = false;
    }

    /**
     * Applies the configuration of an update if it is newer than the one in use.
     *
     * @param news the update
     */
    void apply(FeedMessage.Changes news) {
        if (!news.hasConfiguration() || news.configurationVersion() <= activation.activeVersion()) {
            return;
        }
        try {
            activation.activate(news);
            markApplied();
        } catch (IOException | ConfigurationException | RuntimeException | Error e) {
            markFailed(news);
            LOG.errorf(e, "configuration: version %d cannot be applied", news.configurationVersion());
        }
    }

    private synchronized void markApplied() {
        wholeRequired = false;
    }

    private synchronized void markFailed(FeedMessage.Changes news) {
        if (news.configurationDelta() != null && !wholeRequired) {
            wholeRequired = true;
            forget();
            return;
        }
        failed = true;
        failedAt = ticker.millis();
    }
}
