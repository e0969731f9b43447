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

import java.util.Set;

/**
 * The enabled mechanisms.
 *
 * @param disabled the disabled mechanisms
 */
public record Mechanisms(Set<Mechanism> disabled) {

    /** All mechanisms are enabled. */
    public static final Mechanisms ALL = new Mechanisms(Set.of());

    /**
     * Creates an immutable copy of the set.
     *
     * @param off the disabled mechanisms
     */
    public Mechanisms {
        disabled = Set.copyOf(disabled);
    }

    /**
     * Disables some mechanisms.
     *
     * @param disabled the disabled mechanisms
     * @return all other mechanisms
     */
    public static Mechanisms without(Mechanism... disabled) {
        return new Mechanisms(Set.of(disabled));
    }

    /**
     * Returns whether a mechanism is enabled.
     *
     * @param mechanism the mechanism
     * @return true if it is enabled
     */
    public boolean isEnabled(Mechanism mechanism) {
        return !disabled.contains(mechanism);
    }
}
