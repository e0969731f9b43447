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

import java.util.List;

import org.hallwall.fakes.FakeStutteringServer;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a surplus response of a voter that is taken for the response to the next request. */
class ApiClientTest {

    private static final int SERIES = 12;

    private static int status(int run) {
        return run % 3 == 0 ? 404 : 200;
    }

    private static String response(int status, String requestLine) {
        return FakeStutteringServer.response(
                status, "application/json", "{\"status\":" + status + ",\"request\":\"" + requestLine + "\"}");
    }

    @ParameterizedTest
    @EnumSource(FakeStutteringServer.Timing.class)
    void eachRequestGetsItsOwnResponse(FakeStutteringServer.Timing timing) throws Exception {
        try (FakeStutteringServer voter = new FakeStutteringServer(
                timing, (run, line) -> response(status(run), line), (run, line) -> response(604 - status(run), line))) {
            ApiClient client = new ApiClient(List.of(voter.address()), null);
            for (int i = 1; i <= SERIES; i++) {
                ApiResponse r = client.get("/r" + i);
                Assertions.assertEquals(
                        "GET /r" + i + " HTTP/1.1", r.body().path("request").asText());
                Assertions.assertEquals(status(i), r.status());
                voter.sendLateResponses();
            }
            Assertions.assertEquals(SERIES, voter.requests());
        }
    }
}
