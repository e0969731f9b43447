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

import java.util.ArrayDeque;
import java.util.Deque;

import org.hallwall.core.time.Ticker;

/**
 * Tracks which attempts of one request may still arrive at their targets, and settles the retry charges of the others. The first arrival of
 * the request needs no charge, whichever attempt it is. Confined to the I/O thread.
 */
final class ArrivalTracker {

    private final Ticker ticker;
    private final Deque<RetryCharge> charges = new ArrayDeque<>(1);
    private int pending;
    private boolean arrived;

    ArrivalTracker(Ticker ticker) {
        this.ticker = ticker;
    }

    long now() {
        return ticker.millis();
    }

    /** Adds the charge of a retry that is about to be sent. */
    void add(RetryCharge charge) {
        charges.add(charge);
    }

    /** Treats all attempts as repeats; returns whether one that may still arrive lacks a charge. */
    boolean needsChargeAsRepeat() {
        arrived = true;
        return charges.size() < pending;
    }

    /** Records that an attempt is sent. */
    Arrival recordSend() {
        pending++;
        return new Arrival();
    }

    /** Settles the charges in excess of the attempts that may still arrive as repeats. */
    void settle() {
        int repeats = arrived ? pending : Math.max(0, pending - 1);
        while (charges.size() > repeats) {
            charges.remove().settle(ticker.millis());
        }
    }

    /** The arrival of one attempt at its target. */
    final class Arrival {

        private final long sentAt = ticker.millis();
        private boolean decided;

        private Arrival() {}

        long sentAt() {
            return sentAt;
        }

        /** Records that the attempt has arrived. */
        void confirm() {
            decide(true);
            settle();
        }

        /** Records that the attempt has reached no target. Its charge stays open for the next attempt, until {@link #settle}. */
        void withdraw() {
            decide(false);
        }

        private void decide(boolean hasArrived) {
            if (!decided) {
                decided = true;
                pending--;
                arrived |= hasArrived;
            }
        }
    }
}
