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

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

import org.jboss.logging.Logger;

/**
 * Resource usage of the current process.
 *
 * @param cpuMillis CPU time since the start, in milliseconds
 * @param heapBytes used heap, after a garbage collection if requested
 * @param residentBytes resident set size; zero if the system does not provide it
 * @param threads the number of live threads
 */
public record ProcessUsage(long cpuMillis, long heapBytes, long residentBytes, int threads) {

    private static final Logger LOG = Logger.getLogger(ProcessUsage.class);
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long BYTES_PER_KILOBYTE = 1_024;

    /**
     * Measures the current usage.
     *
     * @param collect whether to run a garbage collection first
     * @return the usage
     */
    public static ProcessUsage measure(boolean collect) {
        if (collect) {
            System.gc();
        }
        long cpu = ProcessHandle.current()
                        .info()
                        .totalCpuDuration()
                        .map(Duration::toNanos)
                        .orElse(0L)
                / NANOS_PER_MILLI;
        long heap = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
        int threads = ManagementFactory.getThreadMXBean().getThreadCount();
        return new ProcessUsage(cpu, heap, readResidentBytes(), threads);
    }

    private static long readResidentBytes() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", "")) * BYTES_PER_KILOBYTE;
                }
            }
        } catch (IOException e) {
            LOG.debugf("program: cannot read the resident set size, %s", e.getMessage());
        }
        return 0;
    }
}
