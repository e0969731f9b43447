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

import org.hallwall.core.settings.NetAddress;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** Binds HTTP servers. */
public final class HttpServerBinder {

    private HttpServerBinder() {}

    /**
     * Binds a server and reports failures as a {@link ProgramException}.
     *
     * @param http the server
     * @param address the listen address, for the error message
     * @return the bound server
     * @throws ProgramException if the port cannot be bound
     */
    public static DisposableServer bind(HttpServer http, NetAddress address) throws ProgramException {
        try {
            return http.bindNow();
        } catch (ChannelBindException e) {
            throw new ProgramException(ExitCode.FAILURE, "port " + address + " cannot be opened", e);
        }
    }
}
