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

/** The bounds on the bytes of a log, well below the heap of a process that runs a voter. */
final class LogLimits {

    /** The maximum size of a command; a snapshot must fit into one message. */
    static final int MAX_COMMAND_BYTES = 1 << 20;

    /** The bytes of committed entries after which a snapshot replaces them. */
    static final long SNAPSHOT_THRESHOLD_BYTES = 4L << 20;

    /** The maximum bytes of entries that wait for a quorum; the leader refuses further commands. */
    static final long MAX_UNCOMMITTED_BYTES = 4L << 20;

    /** The bytes after which a message takes no further entry. */
    static final long MAX_BATCH_BYTES = 1L << 20;

    /** The memory of an entry besides its payload. */
    private static final int ENTRY_OVERHEAD_BYTES = 64;

    private LogLimits() {}

    static long bytesOf(LogEntry entry) {
        return ENTRY_OVERHEAD_BYTES + entry.payload().length;
    }
}
