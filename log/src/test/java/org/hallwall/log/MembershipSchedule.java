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

/** How the instances of a simulated schedule change. */
enum MembershipSchedule {
    /** The instances stay. */
    FIXED,
    /** Instances are lost permanently and replaced by empty ones at other addresses. */
    REPLACEMENTS,
    /** Instances join and leave as planned, while others freeze or lose their disks. */
    OVERLAPPING_CHANGES
}
