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
import java.util.List;

import org.hallwall.serving.config.ConfigurationDelta;
import org.hallwall.serving.config.ConfigurationException;
import org.hallwall.serving.target.FeedMessage;
import org.hallwall.serving.target.KnownConfiguration;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Guards against a configuration that is received, not applied, and never requested again. */
class ConfigurationUpdatesTest {

    private static final long CHECKSUM_FACTOR = 100;

    private long now = 1_000;
    private long activeVersion = 3;
    private Throwable failure;
    private int activations;

    private final ConfigurationUpdates updates = new ConfigurationUpdates(new TestActivation(), () -> now);

    private final class TestActivation implements ConfigurationUpdates.Activation {

        @Override
        public long activeVersion() {
            return activeVersion;
        }

        @Override
        public long checksumOf(long version) {
            return version <= activeVersion ? version * CHECKSUM_FACTOR : 0;
        }

        @Override
        public void activate(FeedMessage.Changes news) throws IOException, ConfigurationException {
            activations++;
            throwFailure();
            activeVersion = news.configurationVersion();
        }
    }

    private void throwFailure() throws IOException {
        if (failure instanceof IOException e) {
            throw e;
        }
        if (failure instanceof RuntimeException e) {
            throw e;
        }
        if (failure instanceof Error e) {
            throw e;
        }
    }

    private static FeedMessage.Changes update(int version, byte[] configuration) {
        return new FeedMessage.Changes(
                "b", 0, List.of(), null, 0, List.of(), version, configuration, List.of(), 1, 1, null, null, null, null);
    }

    private static FeedMessage.Changes update(int version) {
        return update(version, new byte[] {(byte) version});
    }

    @Test
    void versionThatWaitsIsNotRequestedAgain() {
        updates.markReceived(update(4));
        Assertions.assertEquals(4, updates.known().version());
        now += 10 * ConfigurationUpdates.RETRY_DELAY_MILLIS;
        Assertions.assertEquals(4, updates.known().version());
        updates.apply(update(4));
        Assertions.assertEquals(4, activeVersion);
        Assertions.assertEquals(4, updates.known().version());
    }

    @Test
    void versionWithoutAQueueIsRequestedAgain() {
        updates.markReceived(update(4));
        updates.forget();
        Assertions.assertEquals(3, updates.known().version());
    }

    @Test
    void updateWithoutAConfigurationIsNoReceipt() {
        updates.markReceived(update(4, null));
        Assertions.assertEquals(3, updates.known().version());
        updates.apply(update(4, null));
        Assertions.assertEquals(0, activations);
    }

    @Test
    void versionThatCannotBeAppliedIsRequestedAgainAfterADelay() {
        for (Throwable e : List.of(
                new IOException("a test"), new IllegalStateException("a test"), new OutOfMemoryError("a test"))) {
            failure = e;
            updates.markReceived(update(4));
            updates.apply(update(4));
            now += ConfigurationUpdates.RETRY_DELAY_MILLIS - 1;
            Assertions.assertEquals(4, updates.known().version(), e::toString);
            now++;
            Assertions.assertEquals(3, updates.known().version(), e::toString);
        }
        failure = null;
        updates.markReceived(update(4));
        updates.apply(update(4));
        Assertions.assertEquals(4, activeVersion);
    }

    @Test
    void newerVersionIsAppliedAfterAFailure() {
        failure = new IllegalStateException("a test");
        updates.markReceived(update(4));
        updates.apply(update(4));
        failure = null;
        updates.markReceived(update(5));
        now += ConfigurationUpdates.RETRY_DELAY_MILLIS;
        Assertions.assertEquals(5, updates.known().version());
        updates.apply(update(5));
        Assertions.assertEquals(5, activeVersion);
    }

    @Test
    void olderVersionIsIgnored() {
        updates.apply(update(3));
        Assertions.assertEquals(0, activations);
    }

    private static FeedMessage.Changes difference(int version) {
        ConfigurationDelta delta =
                new ConfigurationDelta(version - 1, 0, version, 0, version * CHECKSUM_FACTOR, List.of());
        return update(version, null).withConfiguration(version, null, delta);
    }

    @Test
    void differenceCanFollowOneThatWaits() {
        updates.markReceived(difference(4));
        Assertions.assertEquals(new KnownConfiguration(4, 4 * CHECKSUM_FACTOR), updates.known());
        updates.apply(difference(4));
        Assertions.assertEquals(4, activeVersion);
        Assertions.assertEquals(new KnownConfiguration(4, 4 * CHECKSUM_FACTOR), updates.known());
    }

    @Test
    void noDifferenceFollowsAWholeThatWaits() {
        updates.markReceived(update(4));
        Assertions.assertEquals(new KnownConfiguration(4, 0), updates.known());
    }

    @Test
    void wholeIsRequestedAtOnceAfterADifferenceThatCannotBeApplied() {
        failure = new IllegalStateException("a test");
        updates.markReceived(difference(4));
        updates.apply(difference(4));
        Assertions.assertEquals(new KnownConfiguration(3, 0), updates.known());
        failure = null;
        updates.markReceived(update(4));
        updates.apply(update(4));
        Assertions.assertEquals(new KnownConfiguration(4, 4 * CHECKSUM_FACTOR), updates.known());
    }

    @Test
    void repeatedFailuresWaitForTheDelay() {
        failure = new IllegalStateException("a test");
        updates.markReceived(difference(4));
        updates.apply(difference(4));
        updates.markReceived(update(4));
        updates.apply(update(4));
        Assertions.assertEquals(4, updates.known().version());
        now += ConfigurationUpdates.RETRY_DELAY_MILLIS;
        Assertions.assertEquals(new KnownConfiguration(3, 0), updates.known());
    }
}
