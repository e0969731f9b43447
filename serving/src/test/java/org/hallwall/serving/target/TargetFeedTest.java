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
package org.hallwall.serving.target;

import java.time.Duration;
import java.util.List;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;

/** Only changes complete a waiting poll; outdated and repeated announcements do not. */
class TargetFeedTest {

    private final TargetFeed feed = new TargetFeed(() -> 0);

    private static TargetRecord record(long sequence, TargetRecord.Presence presence) {
        return new TargetRecord(
                new InstanceId("i-1"),
                sequence,
                "s",
                new NetAddress("10.0.0.1", 80),
                "a",
                4,
                presence,
                null,
                null,
                List.of(),
                null);
    }

    private static FeedMessage.Poll poll(String boot, long after) {
        return new FeedMessage.Poll(boot, after, 0, 0, 50, java.util.Map.of(), 0, 0, null, null, null);
    }

    @ParameterizedTest
    @CsvSource({"1, SERVING, false", "2, SERVING, false", "3, SERVING, false", "3, LEAVING, true"})
    void onlyLaterAnnouncementsAreChanges(long sequence, TargetRecord.Presence presence, boolean news) {
        feed.announce(record(2, TargetRecord.Presence.SERVING));
        Assertions.assertEquals(news, feed.announce(record(sequence, presence)));
    }

    @Test
    void announcementsAfterShutdownAreIgnored() {
        feed.announce(record(2, TargetRecord.Presence.SERVING));
        feed.announce(record(Long.MAX_VALUE, TargetRecord.Presence.GONE));
        Assertions.assertFalse(feed.announce(record(9, TargetRecord.Presence.SERVING)));
        FeedMessage.Changes news = feed.news(poll("", 0));
        Assertions.assertEquals(
                TargetRecord.Presence.GONE, news.records().get(0).presence());
    }

    @Test
    void leavingTargetCompletesWaitingPolls() {
        feed.announce(record(1, TargetRecord.Presence.SERVING));
        FeedMessage.Changes first = feed.news(poll("", 0));
        Mono<Boolean> waiting =
                feed.await(poll(first.boot(), first.next()), 0, 0).cache();
        waiting.subscribe();
        feed.announce(record(2, TargetRecord.Presence.LEAVING));
        Assertions.assertEquals(Boolean.TRUE, waiting.block(Duration.ofSeconds(5)));
        Assertions.assertEquals(
                1, feed.news(poll(first.boot(), first.next())).records().size());
    }

    @Test
    void heartbeatDoesNotCompleteWaitingPolls() {
        feed.announce(record(1, TargetRecord.Presence.SERVING));
        FeedMessage.Changes first = feed.news(poll("", 0));
        Mono<Boolean> waiting =
                feed.await(poll(first.boot(), first.next()), 0, 0).cache();
        waiting.subscribe();
        feed.announce(record(2, TargetRecord.Presence.SERVING));
        Assertions.assertEquals(Boolean.FALSE, waiting.block(Duration.ofSeconds(5)));
        FeedMessage.Changes next = feed.news(new FeedMessage.Poll(
                first.boot(), first.next(), first.heardNext(), 0, 50, java.util.Map.of(), 0, 0, null, null, null));
        Assertions.assertTrue(next.records().isEmpty());
        Assertions.assertEquals(List.of(new InstanceId("i-1")), next.heard());
    }

    @Test
    void unknownBootGetsAllTargets() {
        feed.announce(record(1, TargetRecord.Presence.SERVING));
        Assertions.assertEquals(1, feed.news(poll("another", 99)).records().size());
    }

    @Test
    void newerConfigurationCompletesThePoll() {
        FeedMessage.Changes first = feed.news(poll("", 0));
        Assertions.assertEquals(
                Boolean.TRUE, feed.await(poll(first.boot(), first.next()), 5, 0).block(Duration.ofSeconds(5)));
    }

    @Test
    void lostTargetsAreSentOnceAndCleared() {
        FeedMessage.Changes first = feed.news(poll("", 0));
        feed.setLost(java.util.Set.of(new InstanceId("i-1")));
        FeedMessage.Changes second = feed.news(poll(first.boot(), first.next()));
        Assertions.assertEquals(List.of(new InstanceId("i-1")), second.lost());
        Assertions.assertNull(feed.news(poll(first.boot(), second.next())).lost());
        feed.setLost(java.util.Set.of());
        Assertions.assertTrue(
                feed.news(poll(first.boot(), second.next())).lost().isEmpty());
    }
}
