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
package org.hallwall.serving.target;

/**
 * The configuration that the sender of a poll has.
 *
 * @param version the version; zero if there is none
 * @param checksum the checksum of its bytes; zero to receive a newer version as a whole
 */
public record KnownConfiguration(long version, long checksum) {

    /** No configuration is older than what the sender has: it receives none. */
    public static final KnownConfiguration NEWEST = new KnownConfiguration(Long.MAX_VALUE, 0);
}
