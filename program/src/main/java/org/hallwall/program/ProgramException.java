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
package org.hallwall.program;

/** Signals that a program cannot continue; the message is printed to the operator. */
public class ProgramException extends Exception {

    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    /**
     * Creates the exception.
     *
     * @param exitCode the exit code of the program
     * @param message the reason, as one sentence
     */
    public ProgramException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    /**
     * Creates the exception with its cause.
     *
     * @param exitCode the exit code of the program
     * @param message the reason, as one sentence
     * @param cause the cause
     */
    public ProgramException(ExitCode exitCode, String message, Throwable cause) {
        super(message, cause);
        this.exitCode = exitCode;
    }

    /**
     * Returns the exit code of the program.
     *
     * @return the exit code
     */
    public ExitCode exitCode() {
        return exitCode;
    }
}
