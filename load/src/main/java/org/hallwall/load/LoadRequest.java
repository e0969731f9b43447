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
package org.hallwall.load;

/**
 * A request of an experiment.
 *
 * @param number the sequence number
 * @param dueNanos the scheduled arrival, relative to the start
 * @param counted whether the request is counted, as opposed to part of the warm-up
 * @param prompt the prompt
 * @param streamed whether the response is streamed
 * @param idempotencyKey the idempotency key; null if none
 * @param priority the priority
 */
record LoadRequest(
        int number,
        long dueNanos,
        boolean counted,
        String prompt,
        boolean streamed,
        String idempotencyKey,
        String priority) {}
