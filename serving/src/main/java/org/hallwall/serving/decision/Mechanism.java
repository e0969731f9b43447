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
package org.hallwall.serving.decision;

/** An optional mechanism of the decisions on groups and streams. Each can be disabled to measure its effect. */
public enum Mechanism {
    /** Stages a second model on hosts, so that engines can switch to it without a load from the weight store. */
    SECOND_MODEL,
    /** Keeps spare engines in fabric domains for expected losses where they have a higher utility than another group. */
    SPARES,
    /** Retires surplus groups of a fabric domain when their engines can complete a group that it lacks. */
    TAKE_APART,
    /** Forms slower cross-domain groups from idle engines when a model has lost many groups. */
    FAR_GROUPS,
    /** Counts refused streams as demand for their model. */
    REFUSED_DEMAND,
    /** Admits streams that are retried after a refusal at a lower limit than first attempts. */
    RETURNS_LAST,
    /** Selects the less loaded of two random groups instead of the least loaded of all. */
    TWO_CHOICES,
    /** Prefers groups in the failure domain of the entry while they have capacity. */
    NEAR_FIRST
}
