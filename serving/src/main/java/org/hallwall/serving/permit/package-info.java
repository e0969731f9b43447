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
/**
 * Distributed rate limiting of targets.
 *
 * <p>A target declares the rate of requests that it accepts from all entries together. The control instance that controls the groups keeps
 * a token bucket for each limited target ({@code PermitAllocator}); every message to the target uses a permit. Entries request permits
 * according to their demand, hold them for a short lease and return those that expire unused ({@code EntryPermits}). The overall rate is
 * thus bounded by one bucket and one lease, independent of the number of entries and the distribution of load.
 *
 * <p>An entry without a connection to the control instance sends a fixed fraction of its even share. A target with a limit near zero still
 * receives occasional requests, since only its responses can end the limit.
 *
 * <p>A stricter limit applies at once. A less strict one applies only if it was certainly declared later: at an entry, if the request was
 * sent after the stricter limit was received ({@code LimitStatement}); at the control instance, if the entry knew the current version of
 * the limit when it sent the request. The control instance passes limits on between entries.
 */
package org.hallwall.serving.permit;
