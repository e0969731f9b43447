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
 * Whether a target may be sent something now: the one place that knows, and that every way to a target asks.
 *
 * <p>The way of a request: its candidates are the targets that are available ({@code TargetAvailability.isAvailable}); the send takes
 * the right to do so when a connection is there ({@code tryRequest}); the answer's {@code TargetNotice} goes back into the same
 * place. Probes and orders ask {@code tryControl}.
 */
package org.hallwall.serving.availability;
