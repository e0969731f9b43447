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
import org.hallwall.serving.config.ConfigurationDocument;
import org.hallwall.serving.config.ConfigurationException;
import org.hallwall.serving.config.VersionedDocument;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/** Writes and reads the configuration; only the leader of the log serves requests. */
public final class ConfigurationService {

    private static final Logger LOG = Logger.getLogger(ConfigurationService.class);
    /** The commit timeout; below the second after which an operator tries another instance. */
    private static final Duration COMMIT_TIMEOUT = Duration.ofMillis(850);

    private final LogVoter voter;
    private final ConfigurationStateMachine stateMachine;
    private final ConfigurationDocuments documents;
    private final InstanceId self;
    private final Function<InstanceId, NetAddress> apiAddresses;

    /**
     * Creates the service.
     *
     * @param self this control instance
     * @param voter the voter of this instance
     * @param machine the state machine of the configuration
     * @param documents the documents of the state machine
     * @param apiAddresses returns the API address of a control instance
     */
    ConfigurationService(
            InstanceId self,
            LogVoter voter,
            ConfigurationStateMachine machine,
            ConfigurationDocuments documents,
            Function<InstanceId, NetAddress> apiAddresses) {
        this.self = self;
        this.voter = voter;
        this.stateMachine = machine;
        this.documents = documents;
        this.apiAddresses = apiAddresses;
    }

    /**
     * Replaces the configuration if the version is higher.
     *
     * @param bytes the operator's bytes
     * @return the reply; never an error
     */
    public Mono<ConfigurationReply> put(byte[] bytes) {
        ConfigurationDocument document = documents.divide(bytes);
        Configuration parsed;
        try {
            parsed = documents.validate(document);
        } catch (ConfigurationException e) {
            LOG.infof("configuration: rejected as invalid: %s", e.getMessage());
            return Mono.just(new ConfigurationReply.Invalid(e.getMessage()));
        }
        return leaderOnly(Mono.defer(() -> commit(new VersionedDocument(parsed.version(), document), bytes)));
    }

    /**
     * Reads the current configuration.
     *
     * @return the reply; never an error
     */
    public Mono<ConfigurationReply> get() {
        return leaderOnly(Mono.defer(() -> readLinearizably(this::currentContent)));
    }

    private Mono<ConfigurationReply> leaderOnly(Mono<ConfigurationReply> reply) {
        InstanceId leader = voter.state().leader();
        if (leader == null) {
            return Mono.just(new ConfigurationReply.OutcomeUnknown("no leader is known"));
        }
        if (!leader.equals(self)) {
            return Mono.just(new ConfigurationReply.Redirect(apiAddresses.apply(leader)));
        }
        return reply.timeout(COMMIT_TIMEOUT).onErrorResume(e -> {
            LOG.warnf("configuration: the outcome is unknown: %s", e.getMessage());
            return Mono.just(new ConfigurationReply.OutcomeUnknown("the leader has no quorum"));
        });
    }

    private Mono<ConfigurationReply> commit(VersionedDocument document, byte[] bytes) {
        long version = document.version();
        if (stateMachine.current().version() >= version) {
            return readLinearizably(() -> accepted(version));
        }
        byte[] compressed = Gzip.compress(bytes);
        byte[] command = ConfigurationStateMachine.command(version, compressed);
        if (command.length > LogVoter.MAX_COMMAND_BYTES) {
            LOG.warnf("configuration: version %d refused, %d bytes compressed", version, command.length);
            return Mono.just(new ConfigurationReply.Invalid("the configuration has " + command.length
                    + " bytes compressed, more than the limit of " + LogVoter.MAX_COMMAND_BYTES));
        }
        documents.prepare(document, compressed);
        return Mono.fromFuture(voter.propose(command)).map(currentVersion -> accepted(version));
    }

    /** Serves a linearizable read: a quorum confirms the index, since the lease may have expired while the machine was suspended. */
    private Mono<ConfigurationReply> readLinearizably(Supplier<ConfigurationReply> reply) {
        return Mono.fromFuture(voter.quorumReadIndex()).map(index -> reply.get());
    }

    private ConfigurationReply accepted(long version) {
        long currentVersion = stateMachine.current().version();
        LOG.infof("configuration: version %d acknowledged, %d is current", version, currentVersion);
        return new ConfigurationReply.Accepted(currentVersion);
    }

    private ConfigurationReply currentContent() {
        ConfigurationStateMachine.StoredConfiguration stored = stateMachine.current();
        if (stored.version() == 0) {
            return new ConfigurationReply.OutcomeUnknown("no configuration was accepted yet");
        }
        try {
            return new ConfigurationReply.Content(Gzip.decompress(stored.compressed()));
        } catch (IOException e) {
            LOG.errorf(e, "configuration: version %d cannot be decompressed", stored.version());
            return new ConfigurationReply.OutcomeUnknown("the configuration is damaged here");
        }
    }
}
