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
package org.hallwall.serving.crash;

import java.util.List;
import java.util.stream.Stream;

/**
 * What may make a request crash targets.
 *
 * @param request the request itself
 * @param promptParts the parts of its prompt that other requests may share
 */
public record RequestFeatures(Fingerprint request, List<Fingerprint> promptParts) {

    /**
     * Creates the features of a request without a prompt.
     *
     * @param request the request
     * @return the features
     */
    public static RequestFeatures of(Fingerprint request) {
        return new RequestFeatures(request, List.of());
    }

    /**
     * Returns all features.
     *
     * @return the request and its prompt parts
     */
    public Stream<Fingerprint> all() {
        return Stream.concat(Stream.of(request), promptParts.stream());
    }
}
