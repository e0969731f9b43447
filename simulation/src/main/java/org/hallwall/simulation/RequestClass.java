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
package org.hallwall.simulation;

/**
 * A class of requests with common arrival rate, lengths and latency objectives.
 *
 * @param name the name in results
 * @param model the requested model
 * @param arrivalsPerSecond the mean arrival rate
 * @param meanPromptTokens the mean prompt length
 * @param meanOutputTokens the mean output length
 * @param firstTokenObjectiveMillis the latest first event that still counts as in time
 * @param interTokenObjectiveMillis the longest gap between events that still counts as in time
 * @param deadlineMillis the caller's deadline
 * @param worth the worth of a response that meets both objectives
 * @param lateWorth the worth of a response that misses one
 */
public record RequestClass(
        String name,
        String model,
        double arrivalsPerSecond,
        double meanPromptTokens,
        double meanOutputTokens,
        long firstTokenObjectiveMillis,
        long interTokenObjectiveMillis,
        long deadlineMillis,
        double worth,
        double lateWorth) {}
