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

import java.util.Locale;

/** What becomes of a request after an attempt at a target has failed. */
enum Resend {
    /** Its kind or its number of attempts does not allow another. */
    NOT_ALLOWED(false, "may not be sent again"),
    /** The attempt reached no target, so another one is no repeat. */
    UNCHARGED(true, "is sent again without a charge"),
    /** The retry budget pays for another attempt. */
    GRANTED(true, "is sent again on the budget"),
    /** The retry budget is spent. */
    REFUSED(false, "is not sent again, the budget is spent"),
    /** Targets have ended under it, and one more would likely end too. */
    HELD_BACK(false, "is held back, targets have ended under it");

    private final boolean sent;
    private final String text;

    Resend(boolean sent, String text) {
        this.sent = sent;
        this.text = text;
    }

    /** Says whether the request is sent again. */
    boolean isSent() {
        return sent;
    }

    /** Gives the name in figures. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    @Override
    public String toString() {
        return text;
    }
}
