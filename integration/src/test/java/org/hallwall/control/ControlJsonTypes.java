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
package org.hallwall.control;

import java.util.Map;

/** The types of this package that a mapper reads or writes by the names of their members. */
public final class ControlJsonTypes {

    private ControlJsonTypes() {}

    /**
     * Lists the types.
     *
     * @return the types by what they are
     */
    public static Map<String, Class<?>> types() {
        return Map.of(
                "log command of declarations", DeclarationCommand.class,
                "outcome of a log command", DeclarationOutcome.class,
                "snapshot of declarations", DeclarationStateMachine.Snapshot.class,
                "settings of hallwall-control", ControlSettings.class,
                "status", ControlDaemon.Status.class,
                "dump of hallwall-control", ControlDaemon.Dump.class,
                "page of resources", ResourceView.Page.class,
                "line of a resource watch", ResourceView.WatchLine.class,
                "declaration", ResourceView.Declaration.class,
                "report with its age", ReportRegistry.AgedReport.class);
    }
}
