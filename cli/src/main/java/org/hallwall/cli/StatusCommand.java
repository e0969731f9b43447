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

import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import org.hallwall.program.ProgramException;

/** Prints the state of the fleet as tables. */
final class StatusCommand {

    private static final long FRESH_MILLIS = 15_000;

    private final CliContext c;

    StatusCommand(CliContext c) {
        this.c = c;
    }

    void run() throws ProgramException {
        ApiReply status = c.api().get("/api/v1/status");
        ApplyCommand.requireOk(status);
        JsonNode log = status.body().path("log");
        line(
                "leader %s, term %d, version %d",
                log.path("leader").asText("none"),
                log.path("term").asLong(),
                status.body().path("applied").asLong());
        printGroups(c.api().get("/api/v1/modelgroups"));
        printDomains(status.body().path("domains"));
        printEntries(status.body().path("entries"));
    }

    private void printGroups(ApiReply reply) throws ProgramException {
        ApplyCommand.requireOk(reply);
        line("");
        line("%-24s %9s %9s %9s %14s  %s", "MODEL GROUP", "REPLICAS", "COMPLETE", "CURRENT", "DOWNTIME", "SHARES");
        for (JsonNode g : reply.body().path("items")) {
            JsonNode s = g.path("status");
            line(
                    "%-24s %9d %9d %9d %12.1f s  %s",
                    g.path("name").asText(),
                    g.path("spec").path("replicas").asInt(),
                    s.path("completeReplicas").asInt(),
                    s.path("currentReplicas").asInt(),
                    s.path("downtimeSeconds").asDouble(),
                    g.path("shares").toString());
        }
    }

    private void printDomains(JsonNode domains) {
        line("");
        line(
                "%-24s %9s %13s %9s %19s  %s",
                "FAILURE DOMAIN", "TARGETS", "ACCELERATORS", "STRANDED", "STRANDED SO FAR", "CONTROLLER");
        for (JsonNode d : domains) {
            JsonNode r = d.path("report");
            line(
                    "%-24s %9d %13d %9d %15.1f a*s  %s%s",
                    r.path("domain").asText(),
                    r.path("targets").asInt(),
                    r.path("accelerators").asInt(),
                    r.path("strandedAccelerators").asInt(),
                    r.path("strandedAcceleratorSeconds").asDouble(),
                    r.path("controller").asText(),
                    silence(d));
        }
    }

    private void printEntries(JsonNode entries) {
        line("");
        line("%-24s %-24s %9s  %s", "ENTRY", "FAILURE DOMAIN", "VERSION", "STATE");
        for (JsonNode e : entries) {
            JsonNode r = e.path("report");
            String state = r.path("mayBeOld").asBoolean() ? "may be old" : "current";
            line(
                    "%-24s %-24s %9d  %s%s",
                    r.path("entry").asText(),
                    r.path("domain").asText(),
                    r.path("version").asLong(),
                    state,
                    silence(e));
        }
    }

    private static String silence(JsonNode heard) {
        long age = heard.path("ageMillis").asLong();
        return age < FRESH_MILLIS ? "" : ", silent for " + age / 1_000 + " s";
    }

    private void line(String format, Object... args) {
        c.out().println(String.format(Locale.ROOT, format, args).stripTrailing());
    }
}
