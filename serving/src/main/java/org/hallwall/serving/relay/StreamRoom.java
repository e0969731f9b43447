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

/** Says whether the groups of a model have room for one more stream. */
public final class StreamRoom {

    /** The part of the slots up to which streams are admitted: above it the next ones would wait for a slot. */
    private static final double ROOM = 0.95;
    /** The same for retried streams. */
    private static final double ROOM_AGAIN = 0.85;

    private StreamRoom() {}

    /**
     * Decides about one stream.
     *
     * @param running the streams in progress at all groups of its model
     * @param slots the slots of those groups, fewer for slower ones
     * @param again whether it is retried after a refusal
     * @return true if it has room
     */
    public static boolean holds(double running, double slots, boolean again) {
        return running < slots * (again ? ROOM_AGAIN : ROOM);
    }
}
