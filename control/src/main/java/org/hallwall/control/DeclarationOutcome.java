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
 * The outcome of a command, the same on every voter.
 *
 * @param result what became of it
 * @param resource the resource after the command; null if there is none
 * @param formed the boots with which a failure domain was first formed; null for other commands
 * @param currentVersion the version of the resource when the command was applied; zero if there was none
 */
public record DeclarationOutcome(Result result, Resource resource, String formed, long currentVersion) {

    DeclarationOutcome(Result result, Resource resource, long currentVersion) {
        this(result, resource, null, currentVersion);
    }

    /** What became of a command. */
    public enum Result {
        /** It was applied. */
        APPLIED,
        /** The resource had another version. */
        CONFLICT,
        /** There was no such resource. */
        NOT_FOUND,
        /** The change id belongs to another change. */
        CHANGE_ID_REUSED
    }
}
