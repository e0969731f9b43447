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

import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Copies the headers to forward, without hop-by-hop headers. */
public final class ForwardedHeaders {

    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
            "http2-settings");

    private final HeaderNames names;

    /**
     * Creates the copier.
     *
     * @param names the header names
     */
    public ForwardedHeaders(HeaderNames names) {
        this.names = names;
    }

    /**
     * Copies the headers of a request for a target.
     *
     * @param from the headers of the client
     * @param workspace the workspace of the key, or null
     * @return the headers, without those set per attempt
     */
    public HttpHeaders forRequest(HttpHeaders from, String workspace) {
        HttpHeaders out = copy(from);
        out.remove(names.key());
        out.remove(names.workspace());
        out.remove(names.expectedTarget());
        ForwardHeaders.remove(out);
        if (workspace != null) {
            out.set(names.workspace(), workspace);
        }
        return out;
    }

    /**
     * Copies the headers of a response for the client.
     *
     * @param from the headers of the target
     * @return the headers
     */
    public HttpHeaders forResponse(HttpHeaders from) {
        HttpHeaders out = copy(from);
        ForwardHeaders.remove(out);
        return out;
    }

    private static HttpHeaders copy(HttpHeaders from) {
        Set<String> listed = connectionOptions(from);
        HttpHeaders out = new DefaultHttpHeaders();
        for (Map.Entry<String, String> h : from) {
            String name = h.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !listed.contains(name)) {
                out.add(h.getKey(), h.getValue());
            }
        }
        return out;
    }

    private static Set<String> connectionOptions(HttpHeaders from) {
        Set<String> out = new HashSet<>();
        for (String value : from.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                out.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return out;
    }
}
