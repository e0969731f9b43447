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
package org.hallwall.serving.config;

/** What a route promises about repeating its requests. */
public enum RequestKind {
    /** Running it again is harmless. */
    IDEMPOTENT {
        @Override
        public boolean mayRepeat(boolean resumable) {
            return true;
        }
    },
    /** It may run once at most. */
    NON_IDEMPOTENT {
        @Override
        public boolean mayRepeat(boolean resumable) {
            return false;
        }
    },
    /** Its answer is a series of events; it may run again only where it can be resumed. */
    STREAM {
        @Override
        public boolean mayRepeat(boolean resumable) {
            return resumable;
        }
    };

    /**
     * Says whether a request may run on a second target.
     *
     * @param resumable whether the route's streams can be resumed
     * @return true if another run breaks no promise
     */
    public abstract boolean mayRepeat(boolean resumable);
}
