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
package org.hallwall.serving.availability;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.hallwall.core.id.InstanceId;
import org.hallwall.serving.permit.RateLimit;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Parsing of backoff times, draining and rate limits in responses. */
class NoticeParserTest {

    private static final InstanceId TARGET = new InstanceId("i-1/k");
    private final NoticeParser parser = new NoticeParser("X-Leaving", "X-Answered-By", "X-Rate-Limit");

    private TargetNotice read(int status, String... headers) {
        HttpHeaders all = new DefaultHttpHeaders();
        for (int i = 0; i < headers.length; i += 2) {
            all.add(headers[i], headers[i + 1]);
        }
        return parser.parse(TARGET, status, all);
    }

    /** Malformed values request no backoff and are reported. */
    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "3; 3000; false",
                "2.5; 2500; false",
                "0.0001; 1; false",
                "0; 0; false",
                "0.0; 0; false",
                "'3 , 5'; 5000; false",
                "3, 5; 5000; false",
                "300; 300000; false",
                "301; 300000; false",
                "99999999999999999; 300000; false",
                "999999999999999999999999; 0; true",
                "-3; 0; true",
                "+3; 0; true",
                "3s; 0; true",
                "1e3; 0; true",
                "0x10; 0; true",
                "NaN; 0; true",
                "Infinity; 0; true",
                "''; 0; true",
                "3,; 3000; true",
                "3, soon; 3000; true",
                "Wed, 21 Oct 2026 07:28:00 GMT; 0; true"
            })
    void backoffTimesAreSeconds(String text, long millis, boolean malformed) {
        TargetNotice n = read(503, "Retry-After", text);
        Assertions.assertEquals(millis, n.backoffMillis());
        Assertions.assertEquals(malformed, n.malformed() != null, () -> "malformed: " + n.malformed());
    }

    @Test
    void longestBackoffTimeApplies() {
        Assertions.assertEquals(
                4_000, read(503, "Retry-After", "4", "Retry-After", "2").backoffMillis());
    }

    /** With other statuses {@code Retry-After} is meant for callers or has no meaning. */
    @ParameterizedTest
    @CsvSource({"503, 3000", "429, 3000", "200, 0", "301, 0", "404, 0", "500, 0", "502, 0"})
    void onlyRejectionsRequestBackoff(int status, long millis) {
        Assertions.assertEquals(millis, read(status, "Retry-After", "3").backoffMillis());
    }

    @ParameterizedTest
    @CsvSource({"200", "404", "500", "503"})
    void anyResponseMayDeclareDraining(int status) {
        Assertions.assertTrue(read(status, "X-Leaving", "1").isDraining());
    }

    @ParameterizedTest
    @CsvSource({"0", "true", "2", "''", "11"})
    void otherLeavingValuesAreMalformed(String text) {
        TargetNotice n = read(200, "X-Leaving", text);
        Assertions.assertFalse(n.isDraining());
        Assertions.assertNotNull(n.malformed());
    }

    /** A response of another target at the same address is ignored. */
    @ParameterizedTest
    @CsvSource({"i-1, true", "i-2, false", ", false"})
    void noticeOfAnotherTargetIsIgnored(String answeredBy, boolean counts) {
        TargetNotice n = answeredBy == null
                ? read(421, "X-Leaving", "1")
                : read(421, "X-Leaving", "1", "X-Answered-By", answeredBy);
        Assertions.assertEquals(counts, n.isDraining());
    }

    /** A limit is a decimal number; the strictest one applies, and malformed values are ignored. */
    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "2; 2; false",
                "2.25; 2.25; false",
                "0; 0; false",
                "0.0; 0; false",
                "0.001; 0.001; false",
                "99999999999999999; 99999999999999999; false",
                "3, 1.5; 1.5; false",
                "'4 , x'; 4; true",
                "-1; ; true",
                "+1; ; true",
                "1e3; ; true",
                "NaN; ; true",
                "Infinity; ; true",
                "many; ; true",
                "2/s; ; true",
                "''; ; true",
            })
    void rateLimitsArePlainDecimals(String text, Double perSecond, boolean malformed) {
        TargetNotice n = read(200, "X-Rate-Limit", text);
        Assertions.assertEquals(perSecond == null ? null : new RateLimit(perSecond), n.limit());
        Assertions.assertEquals(malformed, n.malformed() != null, () -> "malformed: " + n.malformed());
    }

    @ParameterizedTest
    @CsvSource({"200", "404", "429", "500", "503"})
    void anyResponseMayDeclareALimit(int status) {
        TargetNotice n = read(status, "X-Rate-Limit", "3", "X-Rate-Limit", "2", "Retry-After", "1");
        Assertions.assertEquals(new RateLimit(2), n.limit());
    }

    @Test
    void malformedValuesAreTruncated() {
        Assertions.assertEquals(
                40, read(503, "Retry-After", "x".repeat(10_000)).malformed().length());
    }

    @Test
    void responseWithoutDeclarationsHasNoNotice() {
        Assertions.assertSame(TargetNotice.NONE, read(200, "Content-Type", "text/plain"));
    }
}
