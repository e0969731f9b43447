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
package org.hallwall.simulation;

/**
 * What happens to engines in a day; times vary by half around their mean.
 *
 * @param lossEveryMillis the mean time between losses of an engine that is in a group; zero for none
 * @param newEveryMillis the mean time between new, empty engines; zero for none
 * @param darkAtMillis when a whole fabric domain goes silent; negative for never
 * @param darkForMillis for how long it does
 * @param endsMillis the time after which nothing more happens
 * @param unavailable when heads back off or drain
 */
public record Trouble(
        long lossEveryMillis,
        long newEveryMillis,
        long darkAtMillis,
        long darkForMillis,
        long endsMillis,
        UnavailableTrouble unavailable) {

    /** Nothing happens. */
    public static final Trouble NONE = new Trouble(0, 0, -1, 0, 0, UnavailableTrouble.NONE);
}
