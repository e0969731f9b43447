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

/** A mechanism of the decisions about groups and streams. Each can be switched off, to learn what it is worth. */
public enum Mechanism {
    /** Hosts load a second model beside the one that their engine has, so that engines turn to it without the store. */
    SECOND_MODEL,
    /** Fabric domains keep engines free for the losses that are to be expected, where that is worth more than another group. */
    SPARES,
    /** Groups that a fabric domain has too many of end when their engines complete one that it lacks. */
    TAKE_APART,
    /** Engines that stand idle in several fabric domains form slower groups when a model has lost many. */
    FAR_GROUPS,
    /** Streams that are refused count as demand for their model. */
    REFUSED_DEMAND,
    /** Streams that are retried after a refusal find less room than first ones. */
    RETURNS_LAST,
    /** Of two groups that are drawn the one with less in progress is chosen, instead of the least loaded of all. */
    TWO_CHOICES,
    /** A stream goes to a group of its entry's own failure domain as long as that has room. */
    NEAR_FIRST
}
