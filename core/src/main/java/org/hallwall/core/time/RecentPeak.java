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
package org.hallwall.core.time;

/** The highest of the figures that were noted lately. */
public final class RecentPeak {

    private final long memoryMillis;
    private final Ticker ticker;
    private long since;
    private int current;
    private int last;

    /**
     * Creates it; no figure is known.
     *
     * @param memoryMillis how long a figure counts at least, in milliseconds; it is forgotten after twice as long
     * @param ticker the clock
     */
    public RecentPeak(long memoryMillis, Ticker ticker) {
        this.memoryMillis = memoryMillis;
        this.ticker = ticker;
        this.since = ticker.millis();
    }

    /**
     * Notes a figure.
     *
     * @param figure the figure; not negative
     */
    public synchronized void note(int figure) {
        turn();
        current = Math.max(current, figure);
    }

    /**
     * Gives the highest figure.
     *
     * @return the figure; zero if none was noted lately
     */
    public synchronized int highest() {
        turn();
        return Math.max(current, last);
    }

    private void turn() {
        long now = ticker.millis();
        if (now - since >= 2 * memoryMillis) {
            last = 0;
            current = 0;
            since = now;
        } else if (now - since >= memoryMillis) {
            last = current;
            current = 0;
            since += memoryMillis;
        }
    }
}
