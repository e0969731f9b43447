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
package org.hallwall.serving.group;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.hallwall.core.id.InstanceId;

/**
 * Tracks the last orders sent to each target and when they may be retried. A target can have two orders in progress: one for
 * its group and one load on its host. They are tracked separately so that they do not replace each other.
 */
final class OrderTracker {

    private final Map<OrderKey, TrackedOrder> last = new HashMap<>();

    /** Returns whether an order should be sent: it differs from the last one, or its retry time has come. */
    boolean isDue(GroupAction action, long now) {
        TrackedOrder o = last.get(OrderKey.of(action));
        return o == null || !o.order.equals(action.order()) || now >= o.retryAt;
    }

    /**
     * Records an order that is being sent.
     *
     * @param action the order and its target
     * @param retryAt when the order may be retried, in milliseconds
     * @return the record of the order
     */
    TrackedOrder recordSent(GroupAction action, long retryAt) {
        TrackedOrder o = new TrackedOrder(action.order(), retryAt);
        last.put(OrderKey.of(action), o);
        return o;
    }

    void clear() {
        last.clear();
    }

    void removeTargets(Predicate<InstanceId> targets) {
        last.keySet().removeIf(k -> targets.test(k.target()));
    }

    private record OrderKey(InstanceId target, boolean load) {

        static OrderKey of(GroupAction a) {
            return new OrderKey(a.target().id(), a.order() instanceof TargetOrder.Stage);
        }
    }

    /** An order that was sent, with its retry time. */
    static final class TrackedOrder {

        private final TargetOrder order;
        private long retryAt;

        TrackedOrder(TargetOrder order, long retryAt) {
            this.order = order;
            this.retryAt = retryAt;
        }

        boolean isLoad() {
            return order instanceof TargetOrder.Stage;
        }

        void scheduleRetry(long at) {
            retryAt = at;
        }
    }
}
