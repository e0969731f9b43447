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

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Hop-by-hop headers and claimed workspaces must not be forwarded. */
class ForwardedHeadersTest {

    private static final HeaderNames NAMES = new HeaderNames(
            "attempt",
            "deadline",
            "expected",
            "workspace",
            "key",
            "not-run",
            "model",
            "last",
            "leaving",
            "by",
            "parts",
            "X-Rate-Limit");

    @ParameterizedTest
    @CsvSource({
        "connection, false",
        "keep-alive, false",
        "transfer-encoding, false",
        "content-length, false",
        "te, false",
        "upgrade, false",
        "x-of-this-connection, false",
        "key, false",
        "expected, false",
        "attempt, true",
        "model, true",
        "last, true",
        "parts, true",
        "accept, true",
        "x-anything, true"
    })
    void forwardsEndToEndHeaders(String name, boolean forwarded) {
        HttpHeaders from = new DefaultHttpHeaders();
        from.add(name, "value");
        from.add("Connection", "close, X-Of-This-Connection");
        HttpHeaders out = new ForwardedHeaders(NAMES).forRequest(from, "w");
        Assertions.assertEquals(forwarded, out.contains(name));
        Assertions.assertEquals("w", out.get("workspace"));
    }

    @ParameterizedTest
    @CsvSource(
            value = {"null", "real"},
            nullValues = "null")
    void workspaceHeaderOfTheClientIsIgnored(String workspace) {
        HttpHeaders from = new DefaultHttpHeaders();
        from.add("Workspace", "claimed");
        HttpHeaders out = new ForwardedHeaders(NAMES).forRequest(from, workspace);
        Assertions.assertEquals(workspace, out.get("workspace"));
    }
}
