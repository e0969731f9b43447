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
package org.hallwall.serving.relay;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** The header that lists the parts of a prompt in order, as {@code ID:TOKENS} separated by commas, with a hexadecimal id. */
final class PromptPartsHeader {

    /** Maximum length of an id; bounds what a client can add to logs and reports. */
    private static final int MAX_ID_LENGTH = 64;

    private static final int HEXADECIMAL = 16;

    private PromptPartsHeader() {}

    /**
     * Parses the parts that the request may share with other requests: all but the last one. Token counts are ignored, and so are
     * elements without a valid id.
     *
     * @param values the header's values, each of which may be a comma-separated list
     * @return the ids in lower case, without duplicates; empty if there are none
     */
    static List<String> sharedIds(List<String> values) {
        if (values.isEmpty()) {
            return List.of();
        }
        List<String> elements = new ArrayList<>();
        for (String v : values) {
            for (String element : v.split(",")) {
                if (!element.isBlank()) {
                    elements.add(element);
                }
            }
        }
        Set<String> out = new LinkedHashSet<>();
        for (int i = 0; i < elements.size() - 1; i++) {
            String id = id(elements.get(i));
            if (isValid(id)) {
                out.add(id);
            }
        }
        return List.copyOf(out);
    }

    private static String id(String element) {
        int colon = element.indexOf(':');
        return (colon < 0 ? element : element.substring(0, colon)).trim().toLowerCase(Locale.ROOT);
    }

    private static boolean isValid(String id) {
        return !id.isEmpty()
                && id.length() <= MAX_ID_LENGTH
                && id.chars().allMatch(c -> Character.digit(c, HEXADECIMAL) >= 0 && c < 128);
    }
}
