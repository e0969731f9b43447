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
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.zip.CRC32C;

import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a difference that yields other bytes than the operator's, or that is applied to another version than its base. */
class ConfigurationDeltaTest {

    private static final int VERSIONS = 60;

    private final List<String> routes = new ArrayList<>(List.of("{\"n\":0}", "{\"n\":1}", "{\"n\":2}"));

    static List<Integer> seeds() {
        List<Integer> seeds = new ArrayList<>();
        for (int seed = 1; seed <= 40; seed++) {
            seeds.add(seed);
        }
        return seeds;
    }

    private String text(int version) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
                + "],\"services\":[{\"name\":\"s\"}]}";
    }

    private static VersionedDocument version(int version, String text, VersionedDocument previous) {
        return new VersionedDocument(
                version, ConfigurationDocument.of(text.getBytes(StandardCharsets.UTF_8), previous.document()));
    }

    private static String text(VersionedDocument d) {
        return new String(d.document().bytes(), StandardCharsets.UTF_8);
    }

    private void change(Random random) {
        int changes = 1 + random.nextInt(3);
        for (int i = 0; i < changes; i++) {
            int at = random.nextInt(routes.size() + 1);
            switch (random.nextInt(4)) {
                case 0 -> routes.add(at, "{\"n\":" + random.nextInt(30) + "}");
                case 1 -> routes.subList(Math.min(at, 1), at).clear();
                case 2 -> routes.add(at, routes.isEmpty() ? "{}" : routes.get(random.nextInt(routes.size())));
                default -> routes.add(at, "{\"n\":\"" + "x".repeat(random.nextInt(50)) + "\"}");
            }
        }
    }

    /** Versions in any order, some skipped, from two histories of the same versions. */
    @ParameterizedTest
    @MethodSource("seeds")
    void everyVersionHasTheBytesOfTheOperator(int seed) throws ConfigurationException {
        Random random = new Random(seed);
        List<String> texts = new ArrayList<>();
        List<VersionedDocument> all = new ArrayList<>();
        List<VersionedDocument> other = new ArrayList<>();
        VersionedDocument lastOfOther = VersionedDocument.NONE;
        VersionedDocument receiver = VersionedDocument.NONE;
        for (int v = 0; v < VERSIONS; v++) {
            change(random);
            texts.add(text(v + 1));
            all.add(version(v + 1, texts.get(v), v == 0 ? VersionedDocument.NONE : all.get(v - 1)));
            // This instance was away for some versions, and divides the others by what it knew.
            VersionedDocument elsewhere = version(v + 1, texts.get(v), lastOfOther);
            other.add(elsewhere);
            lastOfOther = random.nextInt(3) == 0 ? lastOfOther : elsewhere;
            if (random.nextInt(3) > 0) {
                List<VersionedDocument> sender = random.nextBoolean() ? all : other;
                VersionedDocument base =
                        receiver.version() == 0 ? VersionedDocument.NONE : sender.get((int) receiver.version() - 1);
                receiver = ConfigurationDelta.between(base, sender.get(v)).apply(receiver);
                Assertions.assertEquals(texts.get(v), text(receiver));
                Assertions.assertEquals(
                        all.get(v).document().elements("routes").size(),
                        receiver.document().elements("routes").size());
            }
        }
    }

    @Test
    void oneChangedElementIsSentAlone() {
        VersionedDocument first = version(1, text(1), VersionedDocument.NONE);
        routes.set(1, "{\"n\":100}");
        VersionedDocument second = version(2, text(2), first);
        ConfigurationDelta delta = ConfigurationDelta.between(first, second);
        Assertions.assertEquals("{\"version\":2,\"routes\":[{\"n\":100},".length(), delta.newBytes());
    }

    @Test
    void anotherBaseIsRefused() throws ConfigurationException {
        VersionedDocument first = version(1, text(1), VersionedDocument.NONE);
        routes.remove(0);
        VersionedDocument second = version(2, text(2), first);
        VersionedDocument sameVersion = version(1, text(3), VersionedDocument.NONE);
        ConfigurationDelta delta = ConfigurationDelta.between(first, second);
        Assertions.assertEquals(text(second), text(delta.apply(first)));
        for (VersionedDocument base : List.of(second, sameVersion, VersionedDocument.NONE)) {
            Assertions.assertThrows(ConfigurationException.class, () -> delta.apply(base));
        }
    }

    static List<ConfigurationDelta> damaged() {
        VersionedDocument first =
                version(1, "{\"version\":1,\"routes\":[{\"n\":0},{\"n\":1},{\"n\":2}]}", VersionedDocument.NONE);
        VersionedDocument second = version(2, "{\"version\":2,\"routes\":[{\"n\":0},{\"n\":5},{\"n\":2}]}", first);
        ConfigurationDelta sound = ConfigurationDelta.between(first, second);
        List<ConfigurationDelta.Edit> edits = sound.edits();
        byte[] bytes = edits.get(0).bytes().clone();
        bytes[5] ^= 1;
        ConfigurationDelta.Edit wrongByte = new ConfigurationDelta.Edit(0, 0, null, bytes, bytes.length);
        ConfigurationDelta.Edit keep = new ConfigurationDelta.Edit(0, 5, null, null, 0);
        return List.of(
                with(sound, null, sound.length()),
                with(sound, List.of(), sound.length()),
                with(sound, edits.subList(1, edits.size()), sound.length()),
                with(sound, edits, sound.length() + 1),
                with(sound, edits, -1),
                with(sound, edits, ConfigurationDocument.MAX_BYTES + 1),
                with(sound, List.of(wrongByte, edits.get(1), edits.get(2), edits.get(3)), sound.length()),
                with(sound, List.of(new ConfigurationDelta.Edit(1, 5, null, null, 0)), sound.length()),
                with(sound, List.of(new ConfigurationDelta.Edit(-1, 2, null, null, 0)), sound.length()),
                with(sound, List.of(new ConfigurationDelta.Edit(0, Integer.MAX_VALUE, null, null, 0)), sound.length()),
                with(sound, List.of(new ConfigurationDelta.Edit(0, 0, null, null, 0)), sound.length()),
                with(sound, List.of(new ConfigurationDelta.Edit(0, 0, "routes", bytes, bytes.length + 1)), 100),
                with(sound, List.of(keep, keep, keep, keep), sound.length()));
    }

    private static ConfigurationDelta with(ConfigurationDelta d, List<ConfigurationDelta.Edit> edits, int length) {
        return new ConfigurationDelta(d.baseVersion(), d.baseChecksum(), d.version(), length, d.checksum(), edits);
    }

    @ParameterizedTest
    @MethodSource("damaged")
    void damagedDifferenceIsRefused(ConfigurationDelta delta) {
        VersionedDocument first =
                version(1, "{\"version\":1,\"routes\":[{\"n\":0},{\"n\":1},{\"n\":2}]}", VersionedDocument.NONE);
        Assertions.assertThrows(ConfigurationException.class, () -> delta.apply(first));
    }

    /** Guards against a heap that fills up with versions that share nothing. */
    @Test
    void versionsThatShareNothingAreNotRetained() {
        RecentDocuments recent = new RecentDocuments();
        VersionedDocument last = VersionedDocument.NONE;
        List<VersionedDocument> all = new ArrayList<>();
        for (int v = 1; v <= 10; v++) {
            for (int i = 0; i < routes.size(); i++) {
                routes.set(i, "{\"n\":\"" + Integer.toString(v).repeat(400_000) + i + "\"}");
            }
            last = version(v, text(v), last);
            all.add(last);
            recent.add(last);
        }
        for (VersionedDocument d : all) {
            boolean retained = recent.find(d.version(), d.document().checksum()) != null;
            Assertions.assertEquals(d == last, retained, "version " + d.version());
        }
    }

    @Test
    void onlyRecentVersionsWithTheSameBytesAreFound() {
        RecentDocuments recent = new RecentDocuments();
        VersionedDocument last = VersionedDocument.NONE;
        for (int v = 1; v <= VERSIONS; v++) {
            last = version(v, text(v), last);
            recent.add(last);
            recent.add(version(1, text(1), VersionedDocument.NONE));
        }
        Assertions.assertSame(last, recent.newest());
        CRC32C crc = new CRC32C();
        crc.update(text(VERSIONS).getBytes(StandardCharsets.UTF_8));
        Assertions.assertSame(last, recent.find(VERSIONS, crc.getValue()));
        Assertions.assertNull(recent.find(VERSIONS, crc.getValue() + 1));
        Assertions.assertNull(recent.find(1, last.document().checksum()));
    }
}
