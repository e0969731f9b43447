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

import java.io.IOException;
import java.time.Duration;
import java.util.function.Function;
import java.util.function.Supplier;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.log.LogVoter;
import org.hallwall.serving.config.Configuration;
import org.hallwall.serving.config.ConfigurationException;
import org.hallwall.serving.config.ConfigurationReader;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/** Accepts and shows configurations; only the leader of the log decides. */
public final class ConfigurationService {

    private static final Logger LOG = Logger.getLogger(ConfigurationService.class);
    /** How long a commit is awaited; below the second after which an operator asks another instance. */
    private static final Duration COMMIT_TIMEOUT = Duration.ofMillis(850);

    private final LogVoter voter;
    private final ConfigurationMachine machine;
    private final ConfigurationReader reader;
    private final InstanceId self;
    private final Function<InstanceId, NetAddress> apis;

    /**
     * Creates the service.
     *
     * @param self this control instance
     * @param voter this voter
     * @param machine the replicated configuration
     * @param reader reads the operator's bytes
     * @param apis the addresses for operators, by control instance
     */
    public ConfigurationService(
            InstanceId self,
            LogVoter voter,
            ConfigurationMachine machine,
            ConfigurationReader reader,
            Function<InstanceId, NetAddress> apis) {
        this.self = self;
        this.voter = voter;
        this.machine = machine;
        this.reader = reader;
        this.apis = apis;
    }

    /**
     * Puts a configuration in force.
     *
     * @param bytes the operator's bytes
     * @return the reply; never an error
     */
    public Mono<ConfigurationReply> put(byte[] bytes) {
        Configuration read;
        try {
            read = reader.read(bytes);
        } catch (ConfigurationException e) {
            LOG.infof("configuration: refused as invalid: %s", e.getMessage());
            return Mono.just(new ConfigurationReply.Invalid(e.getMessage()));
        }
        return leaderOnly(Mono.defer(() -> accept(read.version(), bytes)));
    }

    /**
     * Shows the newest configuration.
     *
     * @return the reply; never an error
     */
    public Mono<ConfigurationReply> get() {
        return leaderOnly(Mono.defer(() -> upToDate(this::content)));
    }

    private Mono<ConfigurationReply> leaderOnly(Mono<ConfigurationReply> answer) {
        InstanceId leader = voter.state().leader();
        if (leader == null) {
            return Mono.just(new ConfigurationReply.Unsure("no leader is known"));
        }
        if (!leader.equals(self)) {
            return Mono.just(new ConfigurationReply.Elsewhere(apis.apply(leader)));
        }
        return answer.timeout(COMMIT_TIMEOUT).onErrorResume(e -> {
            LOG.warnf("configuration: no sure answer: %s", e.getMessage());
            return Mono.just(new ConfigurationReply.Unsure("the leader has no quorum"));
        });
    }

    private Mono<ConfigurationReply> accept(long version, byte[] bytes) {
        if (machine.held().version() >= version) {
            return upToDate(() -> accepted(version));
        }
        byte[] command = ConfigurationMachine.command(version, PackedBytes.pack(bytes));
        return Mono.fromFuture(voter.propose(command)).map(held -> accepted(version));
    }

    /** A lease would do but for a machine that was suspended: what is shown must never be older than what was accepted. */
    private Mono<ConfigurationReply> upToDate(Supplier<ConfigurationReply> reply) {
        return Mono.fromFuture(voter.confirmedIndex()).map(index -> reply.get());
    }

    private ConfigurationReply accepted(long version) {
        long held = machine.held().version();
        LOG.infof("configuration: version %d acknowledged, %d is in force", version, held);
        return new ConfigurationReply.Accepted(held);
    }

    private ConfigurationReply content() {
        ConfigurationMachine.Held held = machine.held();
        if (held.version() == 0) {
            return new ConfigurationReply.Unsure("no configuration was accepted yet");
        }
        try {
            return new ConfigurationReply.Content(PackedBytes.unpack(held.packed()));
        } catch (IOException e) {
            LOG.errorf(e, "configuration: version %d cannot be unpacked", held.version());
            return new ConfigurationReply.Unsure("the configuration is damaged here");
        }
    }
}
