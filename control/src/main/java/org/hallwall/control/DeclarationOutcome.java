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

import org.hallwall.resource.Resource;

/**
 * The outcome of a command; identical on every voter.
 *
 * @param result the result
 * @param resource the resource after the command; null if there is none
 * @param formed the boot identifiers with which a failure domain was first formed; null for other commands
 * @param currentVersion the version of the resource when the command was applied; zero if there was none
 */
public record DeclarationOutcome(Result result, Resource resource, String formed, long currentVersion) {

    DeclarationOutcome(Result result, Resource resource, long currentVersion) {
        this(result, resource, null, currentVersion);
    }

    /** The result of a command. */
    public enum Result {
        /** The command was applied. */
        APPLIED,
        /** The resource did not have the expected version. */
        CONFLICT,
        /** The resource does not exist. */
        NOT_FOUND,
        /** The change id was already used for another change. */
        CHANGE_ID_REUSED
    }
}
