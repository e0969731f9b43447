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
package org.hallwall.core.settings;

import java.util.List;

/** Thrown when a settings file is invalid or cannot be read. */
public class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient List<SettingsError> faults;

    /**
     * Creates the exception.
     *
     * @param file the name of the file
     * @param faults all errors found
     */
    public SettingsException(String file, List<SettingsError> faults) {
        super(formatMessage(file, faults));
        this.faults = List.copyOf(faults);
    }

    /**
     * Returns all errors found.
     *
     * @return the errors
     */
    public List<SettingsError> faults() {
        return faults;
    }

    private static String formatMessage(String file, List<SettingsError> faults) {
        StringBuilder out = new StringBuilder(file);
        out.append(": ").append(faults.size()).append(" fault(s)");
        for (SettingsError f : faults) {
            out.append("\n  ").append(f);
        }
        return out.toString();
    }
}
