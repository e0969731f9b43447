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
 * The last orders that each target was given, and when they may be given again. A target may have two in progress: one about its
 * group, and a load on its host, which goes on beside everything else.
 */
final class GivenOrders {

    private final Map<Slot, GivenOrder> last = new HashMap<>();

    /** Says whether an order is not in progress at its target. */
    boolean isDue(GroupAction action, long now) {
        GivenOrder g = last.get(Slot.of(action));
        return g == null || !g.order.equals(action.order()) || now >= g.againAt;
    }

    /**
     * Notes that an order is given.
     *
     * @param action the order and its target
     * @param againAt when it may be given again if nothing is heard, in milliseconds
     * @return the order given
     */
    GivenOrder give(GroupAction action, long againAt) {
        GivenOrder g = new GivenOrder(action.order(), againAt);
        last.put(Slot.of(action), g);
        return g;
    }

    void clear() {
        last.clear();
    }

    void forget(Predicate<InstanceId> targets) {
        last.keySet().removeIf(s -> targets.test(s.target()));
    }

    private record Slot(InstanceId target, boolean load) {

        static Slot of(GroupAction a) {
            return new Slot(a.target().id(), a.order() instanceof TargetOrder.Stage);
        }
    }

    /** An order that was given and when it may be given again. */
    static final class GivenOrder {

        private final TargetOrder order;
        private long againAt;

        GivenOrder(TargetOrder order, long againAt) {
            this.order = order;
            this.againAt = againAt;
        }

        boolean isLoad() {
            return order instanceof TargetOrder.Stage;
        }

        void again(long at) {
            againAt = at;
        }
    }
}
