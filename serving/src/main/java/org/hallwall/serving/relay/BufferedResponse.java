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

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete response.
 *
 * @param status the HTTP status
 * @param headers the headers for the client
 * @param body the response body
 */
record BufferedResponse(int status, HttpHeaders headers, byte[] body) {

    /**
     * Maximum size of a body that is read as a whole, in bytes; a request body of the usual limit can be returned.
     */
    static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    /** The lowest status of a server error. */
    private static final int MIN_SERVER_ERROR = 500;

    /** The lowest status that is not a success. */
    private static final int MIN_NON_SUCCESS = 300;

    /** Status of a response that has no content. */
    private static final int RESET_CONTENT = 205;

    /** Returns whether a response can be returned with its body; some statuses have none. */
    static boolean mayHaveBody(int status) {
        return status != RESET_CONTENT;
    }

    static boolean isSuccess(int status) {
        return status < MIN_NON_SUCCESS;
    }

    boolean isSuccess() {
        return isSuccess(status);
    }

    static boolean isFailure(int status) {
        return status >= MIN_SERVER_ERROR;
    }

    boolean isFailure() {
        return isFailure(status);
    }
}
