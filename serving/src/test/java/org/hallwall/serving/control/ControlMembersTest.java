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

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.log.LogStore;
import org.hallwall.serving.target.FeedMessage.ControlMember;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the stored list of control instances. */
class ControlMembersTest {

    @TempDir
    private Path folder;

    private static ControlMember member(int n) {
        String host = "10.0.0." + n;
        return new ControlMember(new InstanceId(host), new NetAddress(host, 7_000), new NetAddress(host, 8_000));
    }

    @Test
    void anInitializedFolderHasTheListAndIsAdmitted() throws Exception {
        List<ControlMember> seeds = List.of(member(1), member(2), member(3));
        ControlMembers members = new ControlMembers(folder);
        members.initialize(seeds);
        Assertions.assertEquals(seeds, members.load());
        try (LogStore store = LogStore.open(folder)) {
            Assertions.assertTrue(store.recoveredState().folder().admitted());
        }
    }

    @Test
    void anEmptyFileIsReadAsNoMembers() throws Exception {
        Files.createFile(folder.resolve("members.json"));
        Assertions.assertTrue(new ControlMembers(folder).load().isEmpty());
    }
}
