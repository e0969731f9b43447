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
package org.hallwall.serving.control;

import org.hallwall.core.settings.NetAddress;

/** The reply of a control instance to an operator. */
public sealed interface ConfigurationReply {

    /**
     * The configuration, or a higher version, is committed.
     *
     * @param version the current version
     */
    record Accepted(long version) implements ConfigurationReply {}

    /**
     * The configuration is invalid and was rejected.
     *
     * @param reason the error
     */
    record Invalid(String reason) implements ConfigurationReply {}

    /**
     * Another control instance is the leader.
     *
     * @param api the address of its API
     */
    record Redirect(NetAddress api) implements ConfigurationReply {}

    /**
     * The outcome is unknown; the call may be retried at any control instance.
     *
     * @param reason the reason
     */
    record OutcomeUnknown(String reason) implements ConfigurationReply {}

    /**
     * The current configuration.
     *
     * @param bytes the operator's bytes
     */
    record Content(byte[] bytes) implements ConfigurationReply {}
}
