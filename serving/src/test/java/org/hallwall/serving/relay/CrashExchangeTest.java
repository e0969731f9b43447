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
import java.util.concurrent.atomic.AtomicInteger;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.core.time.Ticker;
import org.hallwall.serving.target.TargetDirectory;
import org.hallwall.serving.target.TargetRecord;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;

/** A target counts as crashed only if it refuses connections and has not announced its shutdown. */
class CrashExchangeTest {

    private static final InstanceId TARGET = new InstanceId("t");

    private final TargetDirectory directory = new TargetDirectory(Ticker.SYSTEM);
    private final AtomicInteger probes = new AtomicInteger();

    private boolean refuses(boolean refused) {
        CrashExchange exchange = new CrashExchange(
                List::of,
                directory,
                t -> Mono.just(true),
                (t, a) -> {
                    probes.incrementAndGet();
                    return Mono.just(refused);
                },
                t -> Mono.just(true));
        return exchange.refusesConnections(TARGET).block();
    }

    private void announce(TargetRecord.Presence presence) {
        directory.applyRecord(new TargetRecord(
                TARGET, 1, "app", new NetAddress("127.0.0.1", 9), "a", 4, presence, null, null, List.of(), null));
    }

    @ParameterizedTest
    @CsvSource({"SERVING, true, true", "SERVING, false, false", "LEAVING, true, false", "GONE, true, false"})
    void orderlyShutdownIsNoCrash(TargetRecord.Presence presence, boolean refused, boolean ended) {
        announce(presence);
        Assertions.assertEquals(ended, refuses(refused));
        Assertions.assertEquals(presence == TargetRecord.Presence.SERVING ? 1 : 0, probes.get(), "connections");
    }

    @Test
    void unknownTargetIsNotProbed() {
        Assertions.assertFalse(refuses(true));
        Assertions.assertEquals(0, probes.get());
    }
}
