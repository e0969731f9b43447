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
package org.hallwall.log;

import java.nio.charset.StandardCharsets;

import org.hallwall.core.id.InstanceId;

/**
 * The payload of an {@code ADMIT} entry. Only an admitted data folder may vote and counts towards a quorum.
 *
 * @param voter the voter
 * @param folder the id of its data folder
 */
record LogAdmission(InstanceId voter, String folder) {

    private static final String SEPARATOR = "\n";

    static LogAdmission decode(LogEntry entry) {
        String[] parts = new String(entry.payload(), StandardCharsets.UTF_8).split(SEPARATOR);
        return new LogAdmission(new InstanceId(parts[0]), parts[1]);
    }

    byte[] encode() {
        return (voter + SEPARATOR + folder).getBytes(StandardCharsets.UTF_8);
    }
}
