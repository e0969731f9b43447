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
package org.hallwall.log;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.verdict.Verdict;

/**
 * Thrown when the outcome of a proposed command is not available. The verdict tells whether the command may still be
 * committed.
 */
public class LogProposalException extends Exception {

    private static final long serialVersionUID = 1L;

    private final Verdict verdict;
    private final transient InstanceId leader;

    /**
     * Creates the exception.
     *
     * @param verdict whether the command may be committed
     * @param message the detail message
     * @param leader the current leader; null if unknown
     */
    public LogProposalException(Verdict verdict, String message, InstanceId leader) {
        super(message);
        this.verdict = verdict;
        this.leader = leader;
    }

    /**
     * Returns whether the command may be committed.
     *
     * @return the verdict
     */
    public Verdict verdict() {
        return verdict;
    }

    /**
     * Returns the leader to send the command to.
     *
     * @return the leader; null if unknown
     */
    public InstanceId leader() {
        return leader;
    }
}
