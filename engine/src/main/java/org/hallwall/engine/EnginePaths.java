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
package org.hallwall.engine;

/** The paths of the engine interface. */
public final class EnginePaths {

    /** The path at an entry to which targets send announcements. */
    public static final String ANNOUNCEMENTS = "/targets/v1/announcements";

    /** The path at an engine for runs. */
    public static final String RUNS = "/engine/v1/runs";

    /** The path at an engine for orders. */
    public static final String ORDERS = "/engine/v1/orders";

    /** The path at an engine to which other members send their membership. */
    public static final String MEMBERSHIP = "/engine/v1/membership";

    private EnginePaths() {}
}
