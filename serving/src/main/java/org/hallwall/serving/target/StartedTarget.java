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

import org.hallwall.core.id.InstanceId;

/**
 * The id of one start of a target. A target may start again under its name, with nothing of what it had; its name and its start
 * together name what is remembered of it: its load, its pauses, its orders, its place in a group.
 */
public final class StartedTarget {

    private static final char BETWEEN = '/';
    private static final int RADIX = 36;

    private StartedTarget() {}

    /**
     * Makes an id.
     *
     * @param name the target's name; without a slash
     * @param startMillis when it started, in milliseconds since 1970; zero if it does not say so
     * @return the id
     */
    public static InstanceId id(String name, long startMillis) {
        if (name.indexOf(BETWEEN) >= 0) {
            throw new IllegalArgumentException("a target's name has no " + BETWEEN);
        }
        return new InstanceId(startMillis == 0 ? name : name + BETWEEN + Long.toString(startMillis, RADIX));
    }

    /**
     * Gives the name of a target.
     *
     * @param id the id of one of its starts
     * @return the name, as the target calls itself
     */
    public static String name(InstanceId id) {
        int at = id.value().lastIndexOf(BETWEEN);
        return at < 0 ? id.value() : id.value().substring(0, at);
    }

    /**
     * Gives the start of a target.
     *
     * @param id the id
     * @return milliseconds since 1970; zero if it is not known
     */
    public static long start(InstanceId id) {
        int at = id.value().lastIndexOf(BETWEEN);
        return at < 0 ? 0 : Long.parseLong(id.value().substring(at + 1), RADIX);
    }
}
