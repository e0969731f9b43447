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

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests have the same digest exactly if workspace, host, method, path and body are equal. */
class RequestDigesterTest {

    private static final byte[] KEY = new byte[RequestDigester.KEY_BYTES];

    private final RequestDigester digester = new RequestDigester(KEY);

    private Fingerprint digest(String workspace, String host, String method, String uri, String body) {
        return digester.digest(workspace, host, method, uri, body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void equalRequestsHaveEqualDigests() {
        Assertions.assertEquals(digest("w", "h", "POST", "/a", "x"), digest("w", "h", "POST", "/a", "x"));
    }

    @ParameterizedTest
    @CsvSource(
            nullValues = "none",
            value = {
                "v,h,POST,/a,x",
                "none,h,POST,/a,x",
                "'',h,POST,/a,x",
                "w,g,POST,/a,x",
                "w,none,POST,/a,x",
                "w,h,PUT,/a,x",
                "w,h,POST,/b,x",
                "w,h,POST,/a?b,x",
                "w,h,POST,/a,y",
                "w,h,POST,/a,''",
                "wh,'',POST,/a,x",
                "w,hP,OST,/a,x",
                "w,h,POST,/ax,''"
            })
    void anyDifferenceChangesTheDigest(String workspace, String host, String method, String uri, String body) {
        Assertions.assertNotEquals(digest("w", "h", "POST", "/a", "x"), digest(workspace, host, method, uri, body));
    }

    @Test
    void keyChangesTheDigest() {
        byte[] other = KEY.clone();
        Arrays.fill(other, (byte) 7);
        byte[] body = "x".getBytes(StandardCharsets.UTF_8);
        Assertions.assertNotEquals(
                digester.digest("w", "h", "POST", "/a", body),
                new RequestDigester(other).digest("w", "h", "POST", "/a", body));
    }

    @Test
    void keyOfWrongLengthIsRejected() {
        Assertions.assertThrows(IllegalArgumentException.class, () -> new RequestDigester(new byte[8]));
    }
}
