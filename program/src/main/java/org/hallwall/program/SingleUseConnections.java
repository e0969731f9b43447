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
package org.hallwall.program;

import reactor.netty.resources.ConnectionProvider;

/**
 * Creates connection pools whose connections serve one request each, for responses that carry no id of their request.
 *
 * <p>On a connection that is used again, an unsolicited or stale response that arrives when the next one is due cannot be told apart
 * from it. A pool still limits the number of concurrent connections.
 */
public final class SingleUseConnections {

    private SingleUseConnections() {}

    /**
     * Returns a builder of a pool. The pool closes a connection when its request has ended, even if the server keeps it open.
     *
     * @param name the name of the pool
     * @return the builder
     */
    public static ConnectionProvider.Builder builder(String name) {
        return ConnectionProvider.builder(name)
                .evictionPredicate((connection, metadata) -> metadata.acquireCount() > 0);
    }
}
