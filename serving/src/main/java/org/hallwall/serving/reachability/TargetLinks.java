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
package org.hallwall.serving.reachability;

import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;

import org.hallwall.core.time.Ticker;
import reactor.netty.resources.LoopResources;

/**
 * The links of this process to the targets.
 *
 * @param addresses translates the addresses of targets
 * @param reachability records which targets cannot be connected to
 * @param connector opens connections without a request
 * @param detector detects the loss of all links
 */
public record TargetLinks(
        AddressTranslator addresses,
        TargetReachability reachability,
        TargetConnector connector,
        PartitionDetector detector) {

    /**
     * Creates the links; all targets count as reachable.
     *
     * @param loops the I/O threads
     * @param addresses translates the addresses of targets
     * @param targets supplies the targets that accept connections according to their announcements
     * @param executor the I/O thread that uses the links
     * @param ticker the clock
     * @return the links
     */
    public static TargetLinks create(
            LoopResources loops,
            AddressTranslator addresses,
            Supplier<List<TargetEndpoint>> targets,
            ScheduledExecutorService executor,
            Ticker ticker) {
        TargetReachability reachability = new TargetReachability(ticker);
        TargetConnector connector = new TargetConnector(loops, addresses);
        PartitionDetector detector =
                new PartitionDetector(targets, connector::connect, reachability, executor, new Random(), ticker);
        return new TargetLinks(addresses, reachability, connector, detector);
    }
}
