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
package org.hallwall.log;

/** The replicated state machine. All methods run on the thread of the log. */
public interface StateMachine {

    /**
     * Applies a committed command.
     *
     * @param index the index of its entry
     * @param command the command
     * @return the outcome; must be the same on every voter
     */
    Object apply(long index, byte[] command);

    /**
     * Skips a committed entry that is not a command.
     *
     * @param index the index of the entry
     */
    void skip(long index);

    /**
     * Creates a snapshot of the state.
     *
     * @return the snapshot
     */
    byte[] snapshot();

    /**
     * Restores the state from a snapshot.
     *
     * @param index the last index that the snapshot covers
     * @param state the snapshot; empty for the initial state
     */
    void restore(long index, byte[] state);
}
