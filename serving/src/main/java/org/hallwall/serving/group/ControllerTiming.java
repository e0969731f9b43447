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
package org.hallwall.serving.group;

/**
 * Time limits of the group controller.
 *
 * @param heartbeatMillis the heartbeat interval of a target, in milliseconds
 * @param stallMillis the time after which a head that lost a member breaks, in milliseconds
 * @param firstStart whether the whole system starts for the first time, so that loads may exceed the store's rate
 *     until requests arrive
 * @param discoveryMillis the time after its start within which a process receives a heartbeat from every target, in milliseconds
 */
public record ControllerTiming(long heartbeatMillis, long stallMillis, boolean firstStart, long discoveryMillis) {}
