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
package org.hallwall.serving.config;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a configuration whose parts are not the operator's bytes, or that are divided at the wrong places. */
class ConfigurationDocumentTest {

    private static final String TEXT = """
            {"version":7, "routes" : [ {"name":"a]}","x":[{"y":1},{}]} , {"name":"b\\\\\\"},"},
             {"name":"c"}],"numbers":[1,2],"nested":{"routes":[{"name":"d"}]},"empty":[],
             "services":[{"name":"s"}]}\s
            """;

    private static ConfigurationDocument document(String text, ConfigurationDocument previous) {
        return ConfigurationDocument.of(text.getBytes(StandardCharsets.UTF_8), previous);
    }

    private static ConfigurationDocument document(String text) {
        return document(text, ConfigurationDocument.EMPTY);
    }

    private static List<String> elements(ConfigurationDocument d, String member) {
        return d.elements(member).stream()
                .map(s -> new String(s.bytes(), 0, s.elementLength(), StandardCharsets.UTF_8))
                .toList();
    }

    @Test
    void elementsAreTheObjectsInTopLevelArrays() {
        ConfigurationDocument d = document(TEXT);
        Assertions.assertEquals(
                List.of("{\"name\":\"a]}\",\"x\":[{\"y\":1},{}]}", "{\"name\":\"b\\\\\\\"},\"}", "{\"name\":\"c\"}"),
                elements(d, "routes"));
        Assertions.assertEquals(List.of("{\"name\":\"s\"}"), elements(d, "services"));
        Assertions.assertEquals(List.of(), d.elements("numbers"));
        Assertions.assertEquals(
                "{\"version\":7, \"routes\" : [ ],\"numbers\":[1,2],\"nested\":{\"routes\":[{\"name\":\"d\"}]},"
                        + "\"empty\":[],\n \"services\":[]} \n",
                new String(d.remainder(), StandardCharsets.UTF_8));
        Assertions.assertEquals(TEXT, new String(d.bytes(), StandardCharsets.UTF_8));
        Assertions.assertEquals(d.bytes().length, d.length());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[]",
                "\"routes\"",
                "{\"routes\":[{\"a\":1}",
                "{\"routes\":[{\"a\":1},]}",
                "{\"routes\":[{\"a\":1},5]}",
                "{\"routes\":[{\"a\":1} {\"b\":2}]}",
                "{\"routes\":[{\"a\":1}],\"routes\":[]}",
                "{\"routes\":[{\"a\":1}],\"r\\u006futes\":[]}",
                "{\"routes\":[{\"a\":\"1}]}",
                "{\"routes\":[{\"a\":1}] \"services\":[]}",
                "{routes:[{\"a\":1}]}",
                "{\"routes\" [{\"a\":1}]}",
            })
    void otherTextIsOneSegment(String text) {
        ConfigurationDocument d = document(text);
        Assertions.assertEquals(1, d.segments().size());
        Assertions.assertEquals(text, new String(d.remainder(), StandardCharsets.UTF_8));
        Assertions.assertEquals(text, new String(d.bytes(), StandardCharsets.UTF_8));
    }

    @Test
    void equalElementsAreSharedAndParsedOnce() throws ConfigurationException {
        ConfigurationDocument first = document(TEXT);
        DocumentSegment b = first.elements("routes").get(1);
        Object parsed = b.parsed(Object.class, (bytes, length) -> new Object());
        ConfigurationDocument second = document(TEXT.replace(":7", ":8").replace("\"a]}\"", "\"e\""), first);
        Assertions.assertSame(b, second.elements("routes").get(1));
        Assertions.assertSame(
                first.elements("routes").get(2), second.elements("routes").get(2));
        Assertions.assertNotSame(
                first.elements("routes").get(0), second.elements("routes").get(0));
        Assertions.assertSame(
                parsed, second.elements("routes").get(1).parsed(Object.class, (bytes, length) -> new Object()));
    }

    @Test
    void elementOfAnotherArrayIsNotShared() {
        ConfigurationDocument first = document("{\"routes\":[{\"a\":1},{\"b\":2}],\"services\":[{\"c\":3}]}");
        ConfigurationDocument second = document("{\"routes\":[{\"c\":3}],\"services\":[{\"a\":1},{\"b\":2}]}", first);
        Assertions.assertEquals(List.of("{\"c\":3}"), elements(second, "routes"));
        Assertions.assertEquals(List.of("{\"a\":1}", "{\"b\":2}"), elements(second, "services"));
    }
}
