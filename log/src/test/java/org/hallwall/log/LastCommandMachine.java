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

import java.nio.ByteBuffer;

/** A state machine whose state is the last command, which begins with its number. */
final class LastCommandMachine implements StateMachine {

    private volatile byte[] state = new byte[0];

    int last() {
        return state.length == 0 ? 0 : ByteBuffer.wrap(state).getInt();
    }

    @Override
    public Object apply(long index, byte[] command) {
        state = command;
        return last();
    }

    @Override
    public void skip(long index) {
        // internal entries do not change the state
    }

    @Override
    public byte[] snapshot() {
        return state;
    }

    @Override
    public void restore(long index, byte[] restored) {
        state = restored;
    }
}
