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

import java.util.List;

import org.hallwall.serving.config.RequestKind;
import org.hallwall.serving.config.Route;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A retry after a refusal has less time left than the first attempt. */
class RetryDetectorTest {

    @ParameterizedTest
    @CsvSource({
        // timeout of the route, usual time, time of the request, whether it is a retry
        "8000, 8000, 8000, false",
        "8000, 8000, 7500, true",
        "8000, 5000, 5000, false",
        "8000, 5000, 4600, true",
        "8000, 12000, 8000, false",
        "3000, 5000, 4600, false",
        "12000, 8000, 8000, false"
    })
    void requestWithLessTimeThanUsualIsARetry(long limit, long usual, long time, boolean retry) {
        Route route = new Route("r", "h", "/r/", RequestKind.STREAM, limit, 300, 1, List.of(), 2, false, true, 300);
        RetryDetector detector = new RetryDetector();
        Assertions.assertFalse(detector.isRetry(route, usual));
        Assertions.assertEquals(retry, detector.isRetry(route, time));
    }
}
