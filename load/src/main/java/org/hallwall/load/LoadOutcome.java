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
package org.hallwall.load;

import java.util.List;

/**
 * The outcome of a request.
 *
 * @param request the request
 * @param kind {@code whole}, {@code wrong} or the type of the failure
 * @param verdict the verdict of a refusal; null otherwise
 * @param firstTokenNanos the time from its scheduled arrival to the first token; zero if there was none
 * @param totalNanos the time from its scheduled arrival to the end of the response
 * @param gapsNanos the times between consecutive chunks
 * @param hasRetryAfter whether a refusal has a {@code Retry-After} header
 */
record LoadOutcome(
        LoadRequest request,
        String kind,
        String verdict,
        long firstTokenNanos,
        long totalNanos,
        List<Long> gapsNanos,
        boolean hasRetryAfter) {

    static final String WHOLE = "whole";
    static final String WRONG = "wrong";
}
