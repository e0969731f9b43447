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

import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Guards against charges that are settled while a repeat of their request may still arrive, and against charges that stay open. */
class ArrivalTrackerTest {

    private final AtomicLong now = new AtomicLong();
    private final RetryWindow window = new RetryWindow(RetryBudgetFixture.WINDOW_MILLIS);
    private final ArrivalTracker tracker = new ArrivalTracker(now::get);

    private void addCharge() {
        tracker.add(window.tryRetry(now.get(), 0, 10, 10));
    }

    @Test
    void chargeIsSettledWhenAllAttemptsHaveArrived() {
        tracker.recordSend().confirm();
        addCharge();
        ArrivalTracker.Arrival second = tracker.recordSend();
        Assertions.assertEquals(1, window.openCharges());
        second.confirm();
        Assertions.assertEquals(0, window.openCharges());
        Assertions.assertEquals(1, window.retries(now.get()));
    }

    /** The retry arrives first, and the abandoned attempt is the repeat that arrives later. */
    @Test
    void chargeStaysOpenWhileAnAbandonedAttemptMayArrive() {
        ArrivalTracker.Arrival abandoned = tracker.recordSend();
        addCharge();
        tracker.recordSend().confirm();
        Assertions.assertEquals(1, window.openCharges());
        abandoned.confirm();
        Assertions.assertEquals(0, window.openCharges());
    }

    @Test
    void firstArrivalNeedsNoCharge() {
        ArrivalTracker.Arrival first = tracker.recordSend();
        addCharge();
        tracker.recordSend();
        Assertions.assertEquals(1, window.openCharges());
        first.withdraw();
        tracker.settle();
        Assertions.assertEquals(0, window.openCharges());
    }

    @Test
    void chargeWithoutASendIsSettled() {
        tracker.recordSend().confirm();
        addCharge();
        tracker.settle();
        Assertions.assertEquals(0, window.openCharges());
    }

    /** Guards against a charge that is settled when the target responds on another connection than that of the abandoned attempt. */
    @Test
    void attemptThatTheTargetReadsLaterIsConfirmedWhenItsConnectionCloses() {
        ArrivalTracker.Arrival abandoned = tracker.recordSend();
        addCharge();
        tracker.recordSend().confirm();
        TargetState state = new TargetState();
        EmbeddedChannel channel = addUnread(state, abandoned);
        addUnread(state, tracker.recordSend()).close();
        now.addAndGet(RetryBudget.MAX_ARRIVAL_DELAY_MILLIS / 2);
        state.recordSuccess();
        Assertions.assertEquals(1, window.openCharges());
        channel.close();
        Assertions.assertEquals(0, window.openCharges());
        Assertions.assertEquals(1, window.retries(now.get()));
        Assertions.assertFalse(state.hasUnread());
    }

    private static EmbeddedChannel addUnread(TargetState state, ArrivalTracker.Arrival arrival) {
        EmbeddedChannel channel = new EmbeddedChannel();
        AttemptConnection connection = new AttemptConnection();
        connection.recordSend(channel);
        state.addUnread(arrival, connection);
        return channel;
    }

    /** Guards against a retry whose target refuses the connection, and that reaches a stopped target with its next attempt, uncharged. */
    @Test
    void chargeOfARefusedAttemptIsPassedOnToTheNextOne() {
        tracker.recordSend().confirm();
        addCharge();
        tracker.recordSend().withdraw();
        Assertions.assertEquals(1, window.openCharges());
        ArrivalTracker.Arrival next = tracker.recordSend();
        now.addAndGet(2 * RetryBudgetFixture.WINDOW_MILLIS);
        Assertions.assertEquals(1, window.openCharges());
        next.confirm();
        Assertions.assertEquals(1, window.retries(now.get()));
    }

    /** Whether the target had read the attempt before it ended is unknown. */
    @Test
    void attemptAtATargetThatHasEndedCountsAsArrived() {
        ArrivalTracker.Arrival abandoned = tracker.recordSend();
        addCharge();
        tracker.recordSend();
        TargetState state = new TargetState();
        addUnread(state, abandoned);
        state.abortUnread();
        Assertions.assertEquals(1, window.openCharges());
    }
}
