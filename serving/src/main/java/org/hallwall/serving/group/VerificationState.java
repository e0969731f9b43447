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
package org.hallwall.serving.group;

/** Whether an engine has reported its group membership to a controller. */
public enum VerificationState {
    /** It has not been queried, or a query is running. */
    PENDING(false),
    /** It has reported its membership. */
    VERIFIED(true),
    /** It has not answered; others need not wait for its report. */
    UNANSWERED(true);

    private final boolean decided;

    VerificationState(boolean decided) {
        this.decided = decided;
    }

    /**
     * Returns whether decisions about other engines may go on.
     *
     * @return false while a report is expected that may concern them
     */
    boolean isDecided() {
        return decided;
    }
}
