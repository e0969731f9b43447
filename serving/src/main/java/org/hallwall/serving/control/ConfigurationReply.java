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

/** What a control instance answers to an operator. */
public sealed interface ConfigurationReply {

    /**
     * The configuration, or a higher version, is in force and lasts.
     *
     * @param version the version in force
     */
    record Accepted(long version) implements ConfigurationReply {}

    /**
     * The configuration is refused whole.
     *
     * @param reason what is wrong
     */
    record Invalid(String reason) implements ConfigurationReply {}

    /**
     * Another control instance answers.
     *
     * @param api its address
     */
    record Elsewhere(NetAddress api) implements ConfigurationReply {}

    /**
     * Nobody can say; the same call may be sent again anywhere.
     *
     * @param reason why
     */
    record Unsure(String reason) implements ConfigurationReply {}

    /**
     * The newest configuration.
     *
     * @param bytes the operator's bytes
     */
    record Content(byte[] bytes) implements ConfigurationReply {}
}
