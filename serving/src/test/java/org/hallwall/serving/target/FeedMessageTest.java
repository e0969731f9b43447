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

import java.util.List;
import java.util.Map;

import org.hallwall.core.settings.Json;
import org.hallwall.serving.permit.LimitReport;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compatibility with messages of an earlier version. */
class FeedMessageTest {

    @ParameterizedTest
    @ValueSource(strings = {"{\"controls\":true,\"running\":{\"i-1\":2}}", "{\"running\":{\"i-1\":2},\"limits\":null}"})
    void missingLimitsAreDecodedAsEmpty(String text) throws Exception {
        FeedMessage.LoadTotals sums = Json.MAPPER.readValue(text, FeedMessage.LoadTotals.class);
        Assertions.assertEquals(Map.of("i-1", 2), sums.running());
        Assertions.assertEquals(List.<LimitReport>of(), sums.limits());
    }
}
