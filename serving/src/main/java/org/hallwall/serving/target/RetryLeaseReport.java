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
package org.hallwall.serving.target;

import java.util.List;

/**
 * Tells the control instances which leases on retries an entry holds, with each poll.
 *
 * @param term the highest term of a leader from which the entry has received an answer
 * @param number the number of this report; each report of a process has a higher one
 * @param applied the number of the last report whose answer the entry has applied; zero for none
 * @param limit the number of leases of each service
 * @param held the services of which the entry holds a lease or has retries that may still arrive at targets
 * @param wanted the services of which the entry requests a lease
 */
public record RetryLeaseReport(
        long term, long number, long applied, int limit, List<String> held, List<String> wanted) {}
