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
package org.hallwall.resource;

import java.util.List;

/**
 * The spec of a plain service. Targets of the service announce themselves under its name.
 *
 * @param repeatableMethods the HTTP methods that may be retried
 * @param timeoutMillis the timeout of a call, in milliseconds
 */
public record ServiceSpec(List<String> repeatableMethods, Integer timeoutMillis) {

    private static final List<String> DEFAULT_REPEATABLE_METHODS = List.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");
    private static final int DEFAULT_TIMEOUT_MILLIS = 30_000;

    /** Applies default values. */
    public ServiceSpec {
        repeatableMethods = repeatableMethods == null ? DEFAULT_REPEATABLE_METHODS : List.copyOf(repeatableMethods);
        timeoutMillis = timeoutMillis == null ? DEFAULT_TIMEOUT_MILLIS : timeoutMillis;
    }
}
