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
package org.hallwall.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A response of the resource API.
 *
 * @param status the HTTP status code
 * @param body the JSON body
 */
record ApiResponse(int status, JsonNode body) {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int INTERNAL_SERVER_ERROR = 500;

    boolean isOk() {
        return status == OK;
    }

    boolean isNotFound() {
        return status == NOT_FOUND;
    }

    /** Returns whether the request may succeed on another voter or on a later attempt. */
    boolean isRetryable() {
        return status >= INTERNAL_SERVER_ERROR;
    }

    String problemText() {
        StringBuilder out = new StringBuilder();
        out.append(body.path("title").asText("HTTP " + status));
        out.append(": ").append(body.path("detail").asText());
        out.append(" [").append(body.path("verdict").asText("?")).append(']');
        for (JsonNode fault : body.path("faults")) {
            out.append("\n  ").append(fault.asText());
        }
        return out.toString();
    }
}
