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

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The parts of a prompt that a request shares with others, whatever the header looks like. */
class PromptPartsHeaderTest {

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "5c1e07a2:800,91bd3f06:410,e4402b7d:250 | 5c1e07a2 91bd3f06",
                "5C1E07A2:800, 91bd3f06 :410 , e4402b7d:250 | 5c1e07a2 91bd3f06",
                "a:1,a:2,b:3 | a",
                "a:1,b:2,a:3 | a b",
                "a:1 | ''",
                "a:1, | ''",
                "a,b:2 | a",
                "a:x,b: | a",
                ":5,a:1,b:1 | a",
                "part:1,a:1,b:1 | a",
                ",,, | ''",
                "'' | ''"
            })
    void allButTheLastPartAreShared(String header, String ids) {
        Assertions.assertEquals(ids, String.join(" ", PromptPartsHeader.sharedIds(List.of(header))));
    }

    @Test
    void noHeaderHasNoParts() {
        Assertions.assertEquals(List.of(), PromptPartsHeader.sharedIds(List.of()));
    }

    @Test
    void severalHeadersAreOneList() {
        Assertions.assertEquals(List.of("a", "b"), PromptPartsHeader.sharedIds(List.of("a:1", "b:1,c:1")));
    }

    @Test
    void longIdsAreIgnored() {
        String header = "a".repeat(65) + ":1," + "b".repeat(64) + ":1,c:1";
        Assertions.assertEquals(List.of("b".repeat(64)), PromptPartsHeader.sharedIds(List.of(header)));
    }

    @Test
    void hundredsOfPartsAreRead() {
        List<String> ids =
                IntStream.range(0, 500).mapToObj(Integer::toHexString).toList();
        String header = Stream.concat(ids.stream(), Stream.of("ffff"))
                .map(id -> id + ":7")
                .collect(Collectors.joining(","));
        Assertions.assertEquals(ids, PromptPartsHeader.sharedIds(List.of(header)));
    }
}
