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

import java.io.Closeable;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.log.LogMessage;
import org.hallwall.log.LogSeat;
import org.hallwall.log.LogStore;
import org.hallwall.log.LogStoreException;
import org.hallwall.log.LogTiming;
import org.hallwall.log.LogVoter;
import org.hallwall.program.ExitCode;
import org.hallwall.serving.config.Configuration;
import org.hallwall.serving.config.ConfigurationException;
import org.hallwall.serving.config.ConfigurationReader;
import org.hallwall.serving.crash.CrashLedger;
import org.hallwall.serving.group.ControllerInputs;
import org.hallwall.serving.group.GroupController;
import org.hallwall.serving.group.TargetGateway;
import org.hallwall.serving.permit.PermitLedger;
import org.hallwall.serving.target.FeedFollower;
import org.hallwall.serving.target.FeedMessage;
import org.hallwall.serving.target.FeedMessage.ControlMember;
import org.hallwall.serving.target.StartedTarget;
import org.hallwall.serving.target.TargetDirectory;
import org.hallwall.serving.target.TargetFeed;
import org.hallwall.serving.target.TargetRecord;
import org.hallwall.wire.PeerCodec;
import org.hallwall.wire.PeerKinds;
import org.hallwall.wire.PeerLink;
import org.hallwall.wire.PeerMessage;
import org.hallwall.wire.PeerServer;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/** A control instance: a voter of the log, the feed of what targets announce to it, and perhaps the group controller. */
public final class ControlNode implements Closeable {

    private static final Logger LOG = Logger.getLogger(ControlNode.class);

    private final ControlNodeSettings settings;
    private final ConfigurationReader reader;
    private final Ticker ticker = Ticker.SYSTEM;
    private final Map<InstanceId, PeerLink> links = new ConcurrentHashMap<>();
    private final Map<InstanceId, FeedFollower> followers = new ConcurrentHashMap<>();
    private final EntryReports entries;
    private final LoadLedger loads;
    private final PermitLedger permits;
    private final TargetFeed feed;
    private final TargetDirectory directory;
    private final ConfigurationMachine machine;
    private final CrashLedger ledger = new CrashLedger();
    private final AtomicReference<Configuration> parsed = new AtomicReference<>(Configuration.NONE);
    private final PeerCodec codec = new PeerCodec(kinds());
    private final PeerServer peers;
    private final ControlMembership membership;
    private LogStore store;
    private LogVoter voter;
    private GroupController groups;
    private ConfigurationService service;
    private CrashService crashes;

    /**
     * Creates a control instance; {@link #start(TargetGateway)} starts it.
     *
     * @param settings what it knows at its start
     * @param reader reads configurations
     * @param permits keeps the accounts of targets with a rate limit
     */
    public ControlNode(ControlNodeSettings settings, ConfigurationReader reader, PermitLedger permits) {
        this.settings = settings;
        this.reader = reader;
        this.entries = new EntryReports(settings.firstStart(), ticker);
        this.loads = new LoadLedger(ticker);
        this.permits = permits;
        this.feed = new TargetFeed(ticker);
        this.directory = new TargetDirectory(ticker);
        this.machine = new ConfigurationMachine(feed::wake);
        this.membership = new ControlMembership(settings, this::linkTo, this::follow, ticker);
        this.peers = new PeerServer(settings.fleet(), codec, this::handle);
    }

    /**
     * Gives the kinds of peer messages.
     *
     * @return the kinds
     */
    public static PeerKinds kinds() {
        PeerKinds kinds = new PeerKinds();
        LogMessage.register(kinds);
        FeedMessage.register(kinds);
        return kinds;
    }

    /**
     * Starts; returns when the members are known and the log is open.
     *
     * @param gateway speaks to targets
     * @throws IOException if a port or the data folder cannot be opened
     */
    public void start(TargetGateway gateway) throws IOException {
        peers.open(settings.peerListen());
        List<InstanceId> known = findMembers();
        LOG.infof("control: %s starts, members %s", settings.self().instance(), known);
        store = LogStore.open(settings.dataFolder());
        voter = new LogVoter(
                new LogSeat(settings.self().instance(), known, settings.disksLost(), LogTiming.DEFAULT),
                store,
                new ControlMachine(machine, ledger, feed::wake),
                (to, message) -> linkTo(to).send(message),
                ticker,
                new SecureRandom(),
                () -> Runtime.getRuntime().halt(ExitCode.FAILURE.code()));
        ControllerInputs view = new ControllerInputs(directory, this::configuration, entries::streams);
        groups = new GroupController(
                voter, view, gateway, feed::markLost, settings.timing(), settings.mechanisms(), ticker);
        crashes = new CrashService(voter, ledger, System::currentTimeMillis);
        service = new ConfigurationService(
                settings.self().instance(),
                voter,
                machine,
                reader,
                id -> settings.member(id).api());
        directory.onChange(r -> groups.requestStep());
        voter.start();
        groups.start();
        membership.start(voter);
    }

    /**
     * Takes a target's announcement.
     *
     * @param record what it announced
     */
    public void announce(TargetRecord record) {
        boolean news = feed.announce(record);
        directory.take(record);
        directory.heard(record.instance());
        if (news) {
            LOG.infof("targets: %s", record);
        }
    }

    /**
     * Takes a target's word that it ends.
     *
     * @param name the target's name
     */
    public void leave(String name) {
        TargetRecord known = directory.findNamed(name);
        InstanceId instance = known == null ? StartedTarget.id(name, 0) : known.instance();
        LOG.infof("targets: %s ends, known as %s", name, known);
        feed.leave(instance, known);
        if (known != null) {
            directory.take(known.with(Long.MAX_VALUE, TargetRecord.Presence.GONE));
        }
    }

    /**
     * Gives the service for operators.
     *
     * @return the service; null until the log is open and this instance counts
     */
    public ConfigurationService service() {
        return isMember() ? service : null;
    }

    /**
     * Says whether this instance counts: what is announced to one that does not count would reach nobody.
     *
     * @return true if the log names it among the voters, as far as it knows
     */
    public boolean isMember() {
        LogVoter v = voter;
        return v != null
                && !membership.wasReplaced()
                && v.state().voters().contains(settings.self().instance());
    }

    /**
     * Gives the log's voter.
     *
     * @return the voter; null until the log is open
     */
    public LogVoter voter() {
        return voter;
    }

    /**
     * Gives which requests targets have ended under.
     *
     * @return the replicated state
     */
    public CrashLedger ledger() {
        return ledger;
    }

    /**
     * Gives all targets that are known.
     *
     * @return the directory
     */
    public TargetDirectory directory() {
        return directory;
    }

    @Override
    public void close() {
        LOG.infof("control: %s stops", settings.self().instance());
        membership.close();
        followers.values().forEach(FeedFollower::close);
        if (groups != null) {
            groups.close();
        }
        if (voter != null) {
            voter.close();
        }
        peers.close();
        links.values().forEach(PeerLink::close);
        closeStore();
    }

    private void closeStore() {
        try {
            if (store != null) {
                store.close();
            }
        } catch (LogStoreException e) {
            LOG.warnf("control: the store was not closed, %s", e.getMessage());
        }
    }

    private List<InstanceId> findMembers() throws LogStoreException {
        ControlMembers list = new ControlMembers(settings.dataFolder());
        List<ControlMember> known = list.stored();
        if (known.isEmpty() && settings.firstStart()) {
            known = settings.seeds();
            list.form(known);
        } else if (known.isEmpty()) {
            known = ControlMembers.ask(
                    new FeedMessage.MembersQuestion(settings.self().instance()),
                    settings.seeds().stream()
                            .map(ControlMember::instance)
                            .filter(s -> !s.equals(settings.self().instance()))
                            .map(this::linkTo)
                            .toList());
            list.store(known);
        }
        return known.stream().map(ControlMember::instance).toList();
    }

    private PeerLink linkTo(InstanceId id) {
        return links.computeIfAbsent(
                id,
                i -> new PeerLink(
                        settings.member(i).peer(),
                        settings.fleet(),
                        settings.self().instance(),
                        codec));
    }

    private void follow(InstanceId id) {
        followers.computeIfAbsent(id, i -> {
            FeedFollower f = new FeedFollower(
                    i.value(), linkTo(i), true, () -> Long.MAX_VALUE, () -> Long.MAX_VALUE, Map::of, this::take);
            f.start();
            return f;
        });
    }

    private List<ControlMember> members() {
        LogVoter v = voter;
        return v == null
                ? List.of()
                : v.state().voters().stream().map(settings::member).toList();
    }

    private void take(FeedMessage.News news) {
        news.records().forEach(directory::take);
        news.heard().forEach(directory::heard);
    }

    private Configuration configuration() {
        ConfigurationMachine.Held held = machine.held();
        Configuration last = parsed.get();
        if (held.version() == last.version()) {
            return last;
        }
        try {
            Configuration fresh = reader.read(PackedBytes.unpack(held.packed()));
            parsed.set(fresh);
            return fresh;
        } catch (IOException | ConfigurationException e) {
            LOG.errorf(e, "configuration: version %d cannot be read here", held.version());
            return last;
        }
    }

    private Mono<? extends PeerMessage> handle(InstanceId from, PeerMessage message) {
        if (message instanceof LogMessage m) {
            if (voter != null && m.from().equals(from)) {
                voter.receive(m);
            }
            return Mono.empty();
        }
        if (message instanceof FeedMessage.Poll m) {
            return answer(from, m);
        }
        if (message instanceof FeedMessage.MembersQuestion) {
            // without a leader its list may be old
            boolean knows = voter != null && voter.state().leader() != null;
            return Mono.just(new FeedMessage.Members(knows ? members() : List.of()));
        }
        if (message instanceof FeedMessage.JoinRequest m && voter != null) {
            voter.consider(m.from());
            return Mono.empty();
        }
        if (message instanceof FeedMessage.LoadReport m) {
            boolean controls = voter != null && voter.holdsLease();
            return Mono.just(
                    controls
                            ? new FeedMessage.LoadSums(true, loads.take(from, m.running()), permits.limits())
                            : new FeedMessage.LoadSums(false, Map.of(), List.of()));
        }
        if (message instanceof FeedMessage.PermitRequest m) {
            boolean controls = voter != null && voter.holdsLease();
            return Mono.just(new FeedMessage.Permits(controls, controls ? permits.take(from, m.asks()) : List.of()));
        }
        if (message instanceof FeedMessage.CrashReport m && crashes != null) {
            return crashes.take(m);
        }
        if (message instanceof FeedMessage.TrialQuestion m && crashes != null) {
            return crashes.trial(m.digest());
        }
        if (message instanceof FeedMessage.StalledHead m && groups != null) {
            return groups.handleStalledHead(m);
        }
        if (message instanceof FeedMessage.SuspectFinding m && groups != null) {
            return groups.handleSuspectFinding(m);
        }
        return Mono.empty();
    }

    private Mono<FeedMessage.News> answer(InstanceId from, FeedMessage.Poll poll) {
        if (poll.heardAfter() < 0) {
            entries.take(from, poll.streams());
            if (crashes != null) {
                crashes.ensureKey();
            }
        }
        return feed.await(poll, machine.held().version(), ledger.version()).map(news -> news(poll));
    }

    private FeedMessage.News news(FeedMessage.Poll poll) {
        ConfigurationMachine.Held held = machine.held();
        byte[] packed = held.version() > poll.configurationVersion() ? held.packed() : null;
        return feed.news(poll)
                .with(
                        held.version(),
                        packed,
                        members(),
                        entries.count(),
                        entries.most(),
                        ledger.news(poll.suspectsVersion()));
    }
}
