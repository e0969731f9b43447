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
 * Ids that identify one start of a target: its name and start time. A restarted target keeps its name but none of its state, so load,
 * backoff, orders and group membership are tracked by this id.
 */
public final class TargetIds {

    private static final char SEPARATOR = '/';
    private static final int RADIX = 36;

    private TargetIds() {}

    /**
     * Creates an id.
     *
     * @param name the target's name, without a slash
     * @param startMillis the start time in milliseconds since the epoch; zero if unknown
     * @return the id
     */
    public static InstanceId id(String name, long startMillis) {
        if (name.indexOf(SEPARATOR) >= 0) {
            throw new IllegalArgumentException("the target name must not contain " + SEPARATOR);
        }
        return new InstanceId(startMillis == 0 ? name : name + SEPARATOR + Long.toString(startMillis, RADIX));
    }

    /**
     * Returns the name of a target.
     *
     * @param id the id of one of its starts
     * @return the target's name
     */
    public static String name(InstanceId id) {
        int separator = id.value().lastIndexOf(SEPARATOR);
        return separator < 0 ? id.value() : id.value().substring(0, separator);
    }

    /**
     * Returns the start time of a target.
     *
     * @param id the id
     * @return the start time in milliseconds since the epoch; zero if unknown
     */
    public static long startMillis(InstanceId id) {
        int separator = id.value().lastIndexOf(SEPARATOR);
        return separator < 0 ? 0 : Long.parseLong(id.value().substring(separator + 1), RADIX);
    }
}
