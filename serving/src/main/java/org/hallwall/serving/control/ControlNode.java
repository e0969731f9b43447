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
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.hallwall.core.id.InstanceId;
import org.hallwall.core.time.Ticker;
import org.hallwall.log.LeaveStatus;
import org.hallwall.log.LogMessage;
import org.hallwall.log.LogStore;
import org.hallwall.log.LogStoreException;
import org.hallwall.log.LogTiming;
import org.hallwall.log.LogVoter;
import org.hallwall.log.LogVoterConfig;
import org.hallwall.program.ExitCode;
import org.hallwall.serving.config.ConfigurationReader;
import org.hallwall.serving.crash.CrashLedger;
import org.hallwall.serving.group.ControllerInputs;
import org.hallwall.serving.group.GroupController;
import org.hallwall.serving.group.TargetGateway;
import org.hallwall.serving.permit.PermitAllocator;
import org.hallwall.serving.target.FeedFollower;
import org.hallwall.serving.target.FeedMessage;
import org.hallwall.serving.target.FeedMessage.ControlMember;
import org.hallwall.serving.target.KnownConfiguration;
import org.hallwall.serving.target.TargetDirectory;
import org.hallwall.serving.target.TargetEnd;
import org.hallwall.serving.target.TargetEnds;
import org.hallwall.serving.target.TargetFeed;
import org.hallwall.serving.target.TargetIds;
import org.hallwall.serving.target.TargetRecord;
import org.hallwall.wire.PeerCodec;
import org.hallwall.wire.PeerLink;
import org.hallwall.wire.PeerMessage;
import org.hallwall.wire.PeerMessageTypes;
import org.hallwall.wire.PeerServer;
import org.jboss.logging.Logger;
import reactor.core.publisher.Mono;

/** A control instance: a voter of the log, the feed of target announcements, and the group controller while it leads. */
public final class ControlNode implements Closeable {

    private static final Logger LOG = Logger.getLogger(ControlNode.class);

    private final ControlNodeSettings settings;
    private final Ticker ticker = Ticker.SYSTEM;
    private final Map<InstanceId, PeerLink> links = new ConcurrentHashMap<>();
    private final Map<InstanceId, FeedFollower> followers = new ConcurrentHashMap<>();
    private final EntryCountRecord entryCount = new EntryCountRecord();
    private final TargetEnds targetEnds = new TargetEnds();
    private final EntryReports entryReports;
    private final OpenRetryReports openRetries;
    private final LoadSummary loadSummary;
    private final EntryDirectory entryDirectory;
    private final PermitAllocator permits;
    private final TargetFeed feed;
    private final TargetDirectory directory;
    private final ConfigurationStateMachine configurationMachine;
    private final CrashLedger crashLedger = new CrashLedger();
    private final ConfigurationDocuments documents;
    private final PeerCodec codec = new PeerCodec(messageTypes());
    private final PeerServer peerServer;
    private final ControlMembership membership;
    private volatile List<ControlMember> currentSeeds;
    private LogStore store;
    private LogVoter voter;
    private GroupController groupController;
    private ConfigurationService configurationService;
    private CrashService crashService;
    private EntryCountService entryCountService;
    private RetryLeaseService retryLeases;
    private volatile TargetEndService targetEndService;

    /**
     * Creates a control instance; {@link #start(TargetGateway)} starts it.
     *
     * @param settings the settings
     * @param reader parses configurations
     * @param permits the permits of targets with a rate limit
     */
    public ControlNode(ControlNodeSettings settings, ConfigurationReader reader, PermitAllocator permits) {
        this.settings = settings;
        this.currentSeeds = settings.seeds();
        this.entryReports = new EntryReports(entryCount, ticker);
        this.openRetries = new OpenRetryReports(ticker);
        this.loadSummary = new LoadSummary(ticker);
        this.entryDirectory = new EntryDirectory(new SecureRandom(), ticker);
        this.permits = permits;
        this.feed = new TargetFeed(ticker);
        this.directory = new TargetDirectory(ticker);
        this.configurationMachine = new ConfigurationStateMachine(this::publishConfiguration);
        this.documents = new ConfigurationDocuments(configurationMachine, reader);
        this.membership = new ControlMembership(settings, this::linkTo, this::startFollower, ticker);
        this.peerServer = new PeerServer(settings.fleet(), codec, this::handle);
    }

    /**
     * Returns the registered types of peer messages.
     *
     * @return the types by number
     */
    public static PeerMessageTypes messageTypes() {
        PeerMessageTypes messageTypes = new PeerMessageTypes();
        LogMessage.register(messageTypes);
        FeedMessage.register(messageTypes);
        return messageTypes;
    }

    /**
     * Starts the instance; blocks until the members are known and the log is open.
     *
     * @param gateway sends orders and probes to targets
     * @throws IOException if a port or the data folder cannot be opened
     */
    public void start(TargetGateway gateway) throws IOException {
        peerServer.open(settings.peerListen());
        List<InstanceId> members = findMembers();
        LOG.infof("control: %s starts, members %s", settings.self().instance(), members);
        store = LogStore.open(settings.dataFolder());
        voter = new LogVoter(
                new LogVoterConfig(
                        settings.self().instance(), members, settings.toleratedDiskLosses(), LogTiming.DEFAULT),
                store,
                new ControlStateMachine(
                        configurationMachine, crashLedger, entryCount, targetEnds, feed::completeWaiting),
                (to, message) -> linkTo(to).send(message),
                ticker,
                new SecureRandom(),
                () -> Runtime.getRuntime().halt(ExitCode.FAILURE.code()));
        ControllerInputs view = new ControllerInputs(directory, documents::configuration, entryReports::streams);
        groupController = new GroupController(
                voter, view, gateway, feed::setLost, settings.timing(), settings.mechanisms(), ticker);
        entryCountService = new EntryCountService(settings.self().instance(), voter, entryReports);
        retryLeases = new RetryLeaseService(voter, entryCountService, entryReports);
        targetEndService = new TargetEndService(
                settings.self().instance(), voter, targetEnds, this::linkTo, System::currentTimeMillis);
        crashService = new CrashService(voter, crashLedger, System::currentTimeMillis);
        configurationService = new ConfigurationService(
                settings.self().instance(),
                voter,
                configurationMachine,
                documents,
                id -> settings.member(id).api());
        targetEnds.onRecord(this::publishEnd);
        directory.onChange(r -> groupController.requestStep());
        voter.start();
        groupController.start();
        membership.start(voter);
    }

    /**
     * Applies a target's announcement.
     *
     * @param announced the announcement
     * @return whether it is acknowledged; one that the target leaves only once that is committed
     */
    public Mono<Boolean> announce(TargetRecord announced) {
        TargetRecord record = targetEnds.apply(announced);
        boolean changed = feed.announce(record);
        directory.applyRecord(record);
        directory.recordHeartbeat(record.instance());
        if (changed) {
            LOG.infof("targets: %s", record);
        }
        boolean leaving = announced.presence() == TargetRecord.Presence.LEAVING;
        return leaving ? commitEnd(TargetEnd.of(announced)) : Mono.just(true);
    }

    /**
     * Applies a target's announcement that it shuts down.
     *
     * @param name the target's name
     * @return whether it is acknowledged; only once it is committed
     */
    public Mono<Boolean> leave(String name) {
        TargetRecord known = directory.findByName(name);
        // the start of an unknown target is not later than this request
        long start = known == null ? System.currentTimeMillis() : TargetIds.startMillis(known.instance());
        LOG.infof("targets: %s shuts down, last announcement %s", name, known);
        TargetEnd end = TargetEnd.shutdown(name, start);
        publishEnd(end);
        return commitEnd(end);
    }

    private Mono<Boolean> commitEnd(TargetEnd end) {
        TargetEndService service = targetEndService;
        return service == null ? Mono.just(false) : service.commit(end);
    }

    /** Publishes the end of a target that is known here. The feed may hold an older announcement than the directory. */
    private void publishEnd(TargetEnd end) {
        TargetRecord known = directory.findByName(end.name());
        if (known != null && end.includes(known.instance())) {
            TargetRecord ended = end.applyTo(known);
            feed.announce(ended);
            directory.applyRecord(ended);
        }
    }

    /**
     * Returns the service for operators.
     *
     * @return the service; null unless the log is open and this instance is a voter
     */
    public ConfigurationService configurationService() {
        return isMember() ? configurationService : null;
    }

    /**
     * Returns whether this instance is a voter. Announcements to an instance that is not a voter would reach no entry.
     *
     * @return true if the log lists it as a voter and it has not learned that it was replaced
     */
    public boolean isMember() {
        LogVoter v = voter;
        return v != null
                && !membership.wasReplaced()
                && v.state().voters().contains(settings.self().instance());
    }

    /**
     * Returns the voter of the log.
     *
     * @return the voter; null until the log is open
     */
    public LogVoter voter() {
        return voter;
    }

    /**
     * Returns the crash ledger.
     *
     * @return the replicated ledger of requests during which targets crashed
     */
    public CrashLedger crashLedger() {
        return crashLedger;
    }

    /**
     * Returns the status of the entries; kept while this instance controls the groups.
     *
     * @return the entry directory
     */
    public EntryDirectory entryDirectory() {
        return entryDirectory;
    }

    /**
     * Returns the directory of all targets.
     *
     * @return the directory
     */
    public TargetDirectory directory() {
        return directory;
    }

    /**
     * Sets the control instances that are queried when all known ones are gone.
     *
     * @param seeds the seeds of the reloaded settings
     */
    public void updateSeeds(List<ControlMember> seeds) {
        currentSeeds = seeds;
        membership.setSeeds(seeds);
    }

    /**
     * Leaves the voters before a planned stop, and hands leadership over. Voters that are needed stay in the set.
     *
     * @param timeout the longest time to wait for the decision
     */
    public void leave(Duration timeout) {
        if (voter == null) {
            return;
        }
        membership.close();
        LeaveStatus status = Mono.fromFuture(voter.leave())
                .timeout(timeout)
                .onErrorReturn(LeaveStatus.REQUESTED)
                .block();
        LOG.infof("control: %s leaves the voters: %s", settings.self().instance(), status);
    }

    @Override
    public void close() {
        LOG.infof("control: %s stops", settings.self().instance());
        membership.close();
        followers.values().forEach(FeedFollower::close);
        if (groupController != null) {
            groupController.close();
        }
        if (voter != null) {
            voter.close();
        }
        peerServer.close();
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
        ControlMembers memberList = new ControlMembers(settings.dataFolder());
        List<ControlMember> found = memberList.load();
        if (found.isEmpty() && settings.firstStart()) {
            found = settings.seeds();
            memberList.initialize(found);
            openRetries.recordFirstStart();
        } else if (found.isEmpty()) {
            found = ControlMembers.discover(
                    new FeedMessage.MembersRequest(settings.self().instance()), this::seedLinks);
            memberList.store(found);
        }
        return found.stream().map(ControlMember::instance).toList();
    }

    private List<PeerLink> seedLinks() {
        return currentSeeds.stream()
                .map(ControlMember::instance)
                .filter(s -> !s.equals(settings.self().instance()))
                .map(this::linkTo)
                .toList();
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

    private void startFollower(InstanceId id) {
        followers.computeIfAbsent(id, i -> {
            FeedFollower f = new FeedFollower(
                    i.value(),
                    linkTo(i),
                    true,
                    () -> KnownConfiguration.NEWEST,
                    () -> Long.MAX_VALUE,
                    () -> FeedMessage.EntryUsage.NONE,
                    this::applyNews);
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

    private void publishConfiguration() {
        documents.update();
        feed.completeWaiting();
    }

    private void applyNews(FeedMessage.Changes news) {
        news.records().forEach(r -> directory.applyRecord(targetEnds.apply(r)));
        news.heard().forEach(directory::recordHeartbeat);
    }

    private Mono<? extends PeerMessage> handle(InstanceId from, PeerMessage message) {
        if (message instanceof LogMessage m) {
            if (voter != null && m.from().equals(from)) {
                voter.receive(m);
            }
            return Mono.empty();
        }
        if (message instanceof FeedMessage.Poll m) {
            return answerPoll(from, m);
        }
        if (message instanceof FeedMessage.MembersRequest) {
            // without a leader the list of members may be outdated
            boolean hasLeader = voter != null && voter.state().leader() != null;
            return Mono.just(new FeedMessage.Members(hasLeader ? members() : List.of()));
        }
        if (message instanceof FeedMessage.JoinRequest m && voter != null) {
            voter.handleJoinRequest(m.from());
            return Mono.empty();
        }
        if (message instanceof FeedMessage.LoadReport m) {
            boolean leading = voter != null && voter.holdsLease();
            return Mono.just(
                    leading
                            ? new FeedMessage.LoadTotals(true, loadSummary.update(from, m.running()), permits.limits())
                            : new FeedMessage.LoadTotals(false, Map.of(), List.of()));
        }
        if (message instanceof FeedMessage.EntryStatus m) {
            boolean leading = voter != null && voter.holdsLease();
            return Mono.just(new FeedMessage.EntryList(leading, leading ? entryDirectory.update(from, m) : List.of()));
        }
        if (message instanceof FeedMessage.PermitRequest m) {
            boolean leading = voter != null && voter.holdsLease();
            return Mono.just(new FeedMessage.Permits(leading, leading ? permits.allocate(from, m.asks()) : List.of()));
        }
        if (message instanceof FeedMessage.CrashReport m && crashService != null) {
            return crashService.commitReport(m);
        }
        if (message instanceof FeedMessage.EndReport m && targetEndService != null) {
            return targetEndService.handleReport(m.end());
        }
        if (message instanceof FeedMessage.TrialRequest m && crashService != null) {
            return crashService.requestTrial(m.digest());
        }
        if (message instanceof FeedMessage.StalledHead m && groupController != null) {
            return groupController.handleStalledHead(m);
        }
        if (message instanceof FeedMessage.SuspectCheckResult m && groupController != null) {
            return groupController.handleSuspectFinding(m);
        }
        return Mono.empty();
    }

    private Mono<FeedMessage.Changes> answerPoll(InstanceId from, FeedMessage.Poll poll) {
        if (poll.heardAfter() < 0) {
            entryReports.recordPoll(from, poll.streams());
            if (poll.process() != null) {
                openRetries.record(from, poll.process(), poll.openRetries() == null ? Map.of() : poll.openRetries());
            }
            if (crashService != null) {
                crashService.ensureKey();
                entryCountService.update();
            }
        }
        return feed.await(poll, configurationMachine.current().version(), crashLedger.version())
                .map(news -> createNews(from, poll));
    }

    private FeedMessage.Changes createNews(InstanceId from, FeedMessage.Poll poll) {
        FeedMessage.Changes changes = feed.news(poll)
                .with(
                        members(),
                        entryReports.activeCount(),
                        entryCountService == null ? 0 : entryCountService.sharingCount(),
                        crashLedger.changesSince(poll.suspectsVersion()),
                        openRetries.inheritedBy(from),
                        retryLeases == null ? null : retryLeases.answer(from, poll));
        return documents.addTo(poll, changes);
    }
}
