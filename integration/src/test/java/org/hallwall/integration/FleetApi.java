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
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;

import com.fasterxml.jackson.databind.JsonNode;
import org.hallwall.core.settings.NetAddress;

/** Client of the resource API that tries each voter in turn until one returns a final response. */
final class FleetApi {

    private static final int MAX_ATTEMPTS = 30;

    private final List<NetAddress> voters;

    FleetApi(List<NetAddress> voters) {
        this.voters = voters;
    }

    /** Creates a resource or replaces its current version. */
    JsonNode put(String kind, String plural, String name, String spec) throws IOException {
        long version = get(plural, name).path("resourceVersion").asLong(0);
        HttpCalls.Response r = sendWithRetries(
                "PUT", "/api/v1/" + plural + "/" + name, resourceJson(kind, name, version, spec), Map.of());
        if (r.status() != 200) {
            throw new IOException("declaration rejected: " + r.text());
        }
        return r.json();
    }

    JsonNode get(String plural, String name) throws IOException {
        return sendWithRetries("GET", "/api/v1/" + plural + "/" + name, null, Map.of())
                .json();
    }

    JsonNode status() throws IOException {
        return sendWithRetries("GET", "/api/v1/status", null, Map.of()).json();
    }

    HttpCalls.Response sendTo(int voter, String method, String path, String body, Map<String, String> headers)
            throws IOException {
        return HttpCalls.send(method, voters.get(voter), path, body, headers);
    }

    static String resourceJson(String kind, String name, long version, String spec) {
        return "{\"kind\": \"" + kind + "\", \"name\": \"" + name + "\", \"resourceVersion\": " + version
                + ", \"spec\": " + spec + "}";
    }

    HttpCalls.Response sendWithRetries(String method, String path, String body, Map<String, String> headers)
            throws IOException {
        HttpCalls.Response last = null;
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            try {
                last = sendTo(i % voters.size(), method, path, body, headers);
                if (last.status() < 500) {
                    return last;
                }
            } catch (IOException e) {
                last = null;
            }
            awaitRetryDelay();
        }
        if (last == null) {
            throw new IOException("no voter responded");
        }
        return last;
    }

    private static void awaitRetryDelay() {
        LockSupport.parkNanos(200_000_000L);
    }
}
