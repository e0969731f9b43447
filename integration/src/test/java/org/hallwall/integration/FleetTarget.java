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
package org.hallwall.integration;

import java.io.IOException;
import java.util.Map;

import org.hallwall.core.settings.Json;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.fakes.FakeTargetHistory;

/** Test access to a fake target: the runs and calls that it recorded, and fault injection. */
final class FleetTarget {

    private final NetAddress address;

    FleetTarget(NetAddress address) {
        this.address = address;
    }

    FakeTargetHistory.Snapshot account() throws IOException {
        String text =
                HttpCalls.send("GET", address, "/fake/account", null, Map.of()).text();
        return Json.MAPPER.readValue(text, FakeTargetHistory.Snapshot.class);
    }

    void setFaults(String json) throws IOException {
        HttpCalls.Response response = HttpCalls.send("POST", address, "/fake/faults", json, Map.of());
        if (response.status() != 200) {
            throw new IOException("faults not applied: " + response.text());
        }
    }
}
