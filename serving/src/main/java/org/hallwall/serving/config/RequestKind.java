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

/** The retry semantics of a route's requests. */
public enum RequestKind {
    /** A request may be executed more than once. */
    IDEMPOTENT {
        @Override
        public boolean isRetryable(boolean resumable) {
            return true;
        }
    },
    /** A request is executed at most once. */
    NON_IDEMPOTENT {
        @Override
        public boolean isRetryable(boolean resumable) {
            return false;
        }
    },
    /** The response is a stream of events; a request may be executed again only if the stream can be resumed. */
    STREAM {
        @Override
        public boolean isRetryable(boolean resumable) {
            return resumable;
        }
    };

    /**
     * Returns whether a request may be retried at another target.
     *
     * @param resumable whether the route's streams can be resumed
     * @return true if it may be executed more than once
     */
    public abstract boolean isRetryable(boolean resumable);
}
