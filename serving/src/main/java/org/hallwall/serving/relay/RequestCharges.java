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

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

import org.hallwall.core.time.Ticker;
import org.hallwall.serving.crash.ResponseProgress;

/** Owns the charges of one request to the retry budget, from their grant to their settlement. Confined to the I/O thread. */
final class RequestCharges {

    private final RetryBudget budget;
    private final String service;
    private final boolean forwarded;
    private final ArrivalTracker arrivals;
    private final Map<NextHop, ArrivalTracker.Arrival> arrivalsByHop = new IdentityHashMap<>();

    /**
     * Creates charges without a retry.
     *
     * @param budget the budget of this entry
     * @param service the service of the request
     * @param forwarded whether another entry has forwarded the request, which may have sent it before or may send it again
     * @param ticker the clock
     */
    RequestCharges(RetryBudget budget, String service, boolean forwarded, Ticker ticker) {
        this.budget = budget;
        this.service = service;
        this.forwarded = forwarded;
        this.arrivals = new ArrivalTracker(ticker);
    }

    /** Acquires a retry, which must be sent next; returns false if the budget is exhausted. */
    boolean tryRetry() {
        RetryCharge charge = budget.tryRetry(service);
        if (charge == null) {
            return false;
        }
        arrivals.add(charge);
        return true;
    }

    /** Records that an attempt is sent. */
    void recordSend(NextHop hop) {
        arrivalsByHop.put(hop, arrivals.recordSend());
    }

    /** Records that a recipient has responded, so that the attempt has arrived. Others on other connections may not have. */
    void recordResponse(NextHop hop) {
        ArrivalTracker.Arrival arrival = arrivalsByHop.remove(hop);
        if (arrival != null) {
            arrival.confirm();
        }
    }

    /**
     * Records that an attempt has failed: it has arrived, has reached no target, or may still arrive.
     *
     * @param hop the recipient
     * @param f the failure
     * @param progress how much of the response the recipient had sent
     */
    void recordFailure(NextHop hop, AttemptFailure f, ResponseProgress progress) {
        if (progress == ResponseProgress.NONE && f.mayArriveLater()) {
            leaveUnread(hop);
        } else if (f.hasReachedTarget()) {
            recordResponse(hop);
        } else {
            withdraw(hop);
        }
    }

    private void leaveUnread(NextHop hop) {
        if (!hop.connection().isSent()) {
            withdraw(hop);
            return;
        }
        ArrivalTracker.Arrival arrival = arrivalsByHop.remove(hop);
        if (arrival == null) {
            return;
        }
        if (forwarded && arrivals.needsChargeAsRepeat()) {
            // the other entry settles its charge when this one responds
            arrivals.add(budget.chargeRepeat(service));
        }
        hop.state().addUnread(arrival, hop.connection());
    }

    private void withdraw(NextHop hop) {
        ArrivalTracker.Arrival arrival = arrivalsByHop.remove(hop);
        if (arrival != null) {
            arrival.withdraw();
        }
    }

    /** Settles the charges of retries that are not sent; to be called when no further attempt follows. */
    void settle() {
        arrivals.settle();
    }

    /** Settles the charges of retries that are not sent; attempts without a response may still arrive. */
    void finish() {
        List.copyOf(arrivalsByHop.keySet()).forEach(this::leaveUnread);
        arrivals.settle();
    }
}
