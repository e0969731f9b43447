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

/** The number of entries that share system-wide limits, as the log holds it. It outlives restarts of the control instances. */
public final class EntryCountRecord {

    private volatile int count;

    /**
     * Returns the number of entries.
     *
     * @return the number of entries; zero if none was recorded
     */
    public int count() {
        return count;
    }

    /**
     * Replaces the number of entries.
     *
     * @param newCount the number that was committed
     */
    public void apply(int newCount) {
        count = newCount;
    }
}
