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

    private static final long STALE_AFTER_MILLIS = 15_000;

    private final CliContext context;

    StatusCommand(CliContext context) {
        this.context = context;
    }

    void run() throws ProgramException {
        ApiResponse status = context.api().get("/api/v1/status");
        ApplyCommand.requireOk(status);
        JsonNode log = status.body().path("log");
        printLine(
                "leader %s, term %d, version %d",
                log.path("leader").asText("none"),
                log.path("term").asLong(),
                status.body().path("applied").asLong());
        printGroups(context.api().get("/api/v1/modelgroups"));
        printDomains(status.body().path("domains"));
        printEntries(status.body().path("entries"));
    }

    private void printGroups(ApiResponse response) throws ProgramException {
        ApplyCommand.requireOk(response);
        printLine("");
        printLine("%-24s %9s %9s %9s %14s  %s", "MODEL GROUP", "REPLICAS", "COMPLETE", "CURRENT", "DOWNTIME", "SHARES");
        for (JsonNode group : response.body().path("items")) {
            JsonNode status = group.path("status");
            printLine(
                    "%-24s %9d %9d %9d %12.1f s  %s",
                    group.path("name").asText(),
                    group.path("spec").path("replicas").asInt(),
                    status.path("completeReplicas").asInt(),
                    status.path("currentReplicas").asInt(),
                    status.path("downtimeSeconds").asDouble(),
                    group.path("shares").toString());
        }
    }

    private void printDomains(JsonNode domains) {
        printLine("");
        printLine(
                "%-24s %9s %13s %9s %19s  %s",
                "FAILURE DOMAIN", "TARGETS", "ACCELERATORS", "STRANDED", "STRANDED SO FAR", "CONTROLLER");
        for (JsonNode d : domains) {
            JsonNode r = d.path("report");
            printLine(
                    "%-24s %9d %13d %9d %15.1f a*s  %s%s",
                    r.path("domain").asText(),
                    r.path("targets").asInt(),
                    r.path("accelerators").asInt(),
                    r.path("strandedAccelerators").asInt(),
                    r.path("strandedAcceleratorSeconds").asDouble(),
                    r.path("controller").asText(),
                    stalenessSuffix(d));
        }
    }

    private void printEntries(JsonNode entries) {
        printLine("");
        printLine("%-24s %-24s %9s  %s", "ENTRY", "FAILURE DOMAIN", "VERSION", "STATE");
        for (JsonNode e : entries) {
            JsonNode r = e.path("report");
            String state = r.path("mayBeOld").asBoolean() ? "may be old" : "current";
            printLine(
                    "%-24s %-24s %9d  %s%s",
                    r.path("entry").asText(),
                    r.path("domain").asText(),
                    r.path("version").asLong(),
                    state,
                    stalenessSuffix(e));
        }
    }

    private static String stalenessSuffix(JsonNode report) {
        long age = report.path("ageMillis").asLong();
        return age < STALE_AFTER_MILLIS ? "" : ", silent for " + age / 1_000 + " s";
    }

    private void printLine(String format, Object... args) {
        context.out().println(String.format(Locale.ROOT, format, args).stripTrailing());
    }
}
