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

import java.util.List;

import io.netty.handler.codec.http.QueryStringDecoder;
import org.hallwall.core.verdict.ProblemType;
import org.hallwall.core.verdict.RefusalException;
import reactor.netty.http.server.HttpServerRequest;

/** Reads parameters from the query string of a request. */
public final class HttpQuery {

    private final QueryStringDecoder decoder;

    private HttpQuery(QueryStringDecoder decoder) {
        this.decoder = decoder;
    }

    /**
     * Parses the query string of a request.
     *
     * @param req the request
     * @return the parsed query
     */
    public static HttpQuery of(HttpServerRequest req) {
        return new HttpQuery(new QueryStringDecoder(req.uri()));
    }

    /**
     * Returns a parameter as a non-negative integer.
     *
     * @param name the name of the parameter
     * @param defaultValue the value if the parameter is missing
     * @return the value
     * @throws RefusalException if the value is not a non-negative integer
     */
    public long nonNegativeLong(String name, long defaultValue) throws RefusalException {
        List<String> values = decoder.parameters().get(name);
        if (values == null) {
            return defaultValue;
        }
        try {
            long value = Long.parseLong(values.get(0));
            if (value >= 0) {
                return value;
            }
        } catch (NumberFormatException e) {
            // rejected below
        }
        throw new RefusalException(ProblemType.BAD_REQUEST, name + " must be a number that is zero or more");
    }
}
