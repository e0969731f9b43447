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
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

import org.awaitility.Awaitility;
import org.hallwall.core.id.InstanceId;
import org.hallwall.core.settings.NetAddress;
import org.hallwall.core.time.Ticker;
import org.hallwall.log.LogRole;
import org.hallwall.log.LogVoter;
import org.hallwall.serving.config.CallerLimits;
import org.hallwall.serving.config.Configuration;
import org.hallwall.serving.config.ConfigurationDocument;
import org.hallwall.serving.config.ConfigurationException;
import org.hallwall.serving.decision.Mechanisms;
import org.hallwall.serving.group.ControllerTiming;
import org.hallwall.serving.group.EngineReport;
import org.hallwall.serving.group.OrderOutcome;
import org.hallwall.serving.group.TargetGateway;
import org.hallwall.serving.group.TargetOrder;
import org.hallwall.serving.permit.PermitAllocator;
import org.hallwall.serving.target.FeedMessage;
import org.hallwall.serving.target.FeedMessage.ControlMember;
import org.hallwall.serving.target.RetryLeaseGrant;
import org.hallwall.serving.target.RetryLeaseReport;
import org.hallwall.serving.target.TargetRecord;
import org.hallwall.wire.PeerCodec;
import org.hallwall.wire.PeerLink;
import org.hallwall.wire.PeerMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;

/** Tests that accepted configurations survive the loss and replacement of control instances, on several loopback addresses. */
class ControlNodeTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    /** Shorter than the time after which a restarted instance counts as a regular voter. */
    private static final Duration REJOIN_TIMEOUT = Duration.ofMillis(2_500);

    private static final Duration UNKNOWN_COUNT = Duration.ofSeconds(4);

    /** The largest number of members in a test. */
    private static final int MAX_MEMBERS = 6;

    private static final int MAX_PORT_ATTEMPTS = 100;
    private static final TargetGateway NO_TARGETS = new TargetGateway() {
        @Override
        public Mono<OrderOutcome> sendOrder(TargetRecord t, TargetOrder o, long token, Duration timeout) {
            return Mono.just(OrderOutcome.UNKNOWN);
        }

        @Override
        public Mono<Boolean> probe(TargetRecord target, Duration timeout) {
            return Mono.just(false);
        }

        @Override
        public Mono<EngineReport> readReport(TargetRecord target, Duration timeout) {
            return Mono.empty();
        }
    };

    @TempDir
    private Path folder;

    private final Map<Integer, ControlNode> nodes = new HashMap<>();
    private int disksLost = 1;
    private int peerPort;
    private int apiPort;

    @BeforeEach
    void start() throws IOException {
        peerPort = freePort();
        apiPort = freePort();
        for (int n = 1; n <= 3; n++) {
            open(n, "disk", true);
        }
    }

    @AfterEach
    void stop() {
        nodes.values().forEach(ControlNode::close);
    }

    /** Returns a port that is free at the addresses of all members. */
    private static int freePort() throws IOException {
        for (int attempt = 0; attempt < MAX_PORT_ATTEMPTS; attempt++) {
            try (ServerSocket s = new ServerSocket(0, 1, address(1))) {
                if (isFreeAtOtherMembers(s.getLocalPort())) {
                    return s.getLocalPort();
                }
            }
        }
        throw new IOException("no port is free at all addresses");
    }

    private static boolean isFreeAtOtherMembers(int port) throws IOException {
        for (int n = 2; n <= MAX_MEMBERS; n++) {
            try (ServerSocket s = new ServerSocket(port, 1, address(n))) {
                Assertions.assertEquals(port, s.getLocalPort());
            } catch (BindException e) {
                return false;
            }
        }
        return true;
    }

    private static InetAddress address(int n) throws IOException {
        return InetAddress.getByName("127.0.0." + n);
    }

    private ControlMember member(int n) {
        String host = "127.0.0." + n;
        return new ControlMember(new InstanceId(host), new NetAddress(host, peerPort), new NetAddress(host, apiPort));
    }

    private void open(int n, String disk, boolean firstStart) throws IOException {
        open(n, disk, firstStart, List.of(member(1), member(2), member(3)));
    }

    private void open(int n, String disk, boolean firstStart, List<ControlMember> seeds) throws IOException {
        ControlNodeSettings settings = new ControlNodeSettings(
                "test",
                member(n),
                member(n).peer(),
                folder.resolve(n + disk),
                firstStart,
                seeds,
                disksLost,
                new ControllerTiming(1_000, 1_000, firstStart, 0),
                Mechanisms.ALL);
        ControlNode node = new ControlNode(settings, ControlNodeTest::read, new PermitAllocator(Ticker.SYSTEM, 0));
        node.start(NO_TARGETS);
        nodes.put(n, node);
    }

    private void close(int n) {
        nodes.remove(n).close();
    }

    private static Configuration read(ConfigurationDocument document) throws ConfigurationException {
        String text = new String(document.bytes(), StandardCharsets.UTF_8);
        try {
            long version = Long.parseLong(text.split(" ")[0]);
            return new Configuration(version, List.of(), Map.of(), List.of(), CallerLimits.DEFAULT);
        } catch (NumberFormatException e) {
            throw new ConfigurationException("no version", e);
        }
    }

    private ConfigurationReply put(ControlNode node, String text) {
        ConfigurationService s = node.configurationService();
        return s == null ? null : s.put(text.getBytes(StandardCharsets.UTF_8)).block(TIMEOUT);
    }

    /** Sends the configuration to all instances in turn until one accepts it. */
    private void accept(String text) {
        Awaitility.await()
                .atMost(TIMEOUT)
                .until(() ->
                        nodes.values().stream().anyMatch(n -> put(n, text) instanceof ConfigurationReply.Accepted));
    }

    private String readBack() {
        for (ControlNode n : nodes.values()) {
            ConfigurationReply r = n.configurationService() == null
                    ? null
                    : n.configurationService().get().block(TIMEOUT);
            if (r instanceof ConfigurationReply.Content c) {
                return new String(c.bytes(), StandardCharsets.UTF_8);
            }
        }
        return null;
    }

    private void awaitReadBack(String text) {
        Awaitility.await().atMost(TIMEOUT).until(() -> text.equals(readBack()));
    }

    // guards against a configuration that the log cannot hold and that is answered as if it could be sent again
    @Test
    void refusesConfigurationThatLogCannotHold() {
        accept("1 a");
        StringBuilder text = new StringBuilder("2 ");
        Random random = new Random(1);
        while (text.length() < 3 * LogVoter.MAX_COMMAND_BYTES) {
            text.append(Long.toHexString(random.nextLong()));
        }
        Awaitility.await()
                .atMost(TIMEOUT)
                .until(() -> nodes.values().stream()
                        .anyMatch(n -> put(n, text.toString()) instanceof ConfigurationReply.Invalid r
                                && r.reason().contains("more than the limit")));
        accept("3 b");
        Assertions.assertEquals("3 b", readBack());
    }

    @Test
    void theHighestVersionIsCurrentAndFollowersRedirectToTheLeader() {
        accept("5 five");
        accept("3 three");
        accept("5 other");
        awaitReadBack("5 five");
        Awaitility.await()
                .atMost(TIMEOUT)
                .until(() -> nodes.values().stream()
                                .filter(n -> put(n, "6 six") instanceof ConfigurationReply.Redirect)
                                .count()
                        == 2);
        awaitReadBack("6 six");
    }

    private static TargetRecord serving(String name) {
        InstanceId id = new InstanceId(name);
        NetAddress address = new NetAddress("10.0.0.1", 80);
        return new TargetRecord(
                id, 1, "s", address, "a", 4, TargetRecord.Presence.SERVING, null, null, List.of(), null);
    }

    private Set<Long> commitIndexes() {
        return nodes.values().stream().map(n -> n.voter().state().commit()).collect(Collectors.toSet());
    }

    /** Guards against an end that is acknowledged by an instance whose restart forgets it. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void anInstanceAcknowledgesTheEndOfATargetOnceItIsCommitted(int n) {
        accept("1 one");
        nodes.get(n).announce(serving("i-1")).block(TIMEOUT);
        Awaitility.await().atMost(TIMEOUT).until(() -> nodes.get(n).leave("i-1").block(TIMEOUT));
        Awaitility.await().atMost(TIMEOUT).until(() -> commitIndexes().size() == 1);
        close(n % 3 + 1);
        close((n + 1) % 3 + 1);
        Assertions.assertEquals(Boolean.TRUE, nodes.get(n).leave("i-1").block(TIMEOUT), "committed before");
        Assertions.assertEquals(Boolean.FALSE, nodes.get(n).leave("i-2").block(TIMEOUT), "no quorum");
    }

    @ParameterizedTest
    @ValueSource(strings = {"x", ""})
    void invalidConfigurationsAreRejectedByAll(String text) {
        accept("1 one");
        for (ControlNode n : nodes.values()) {
            Assertions.assertInstanceOf(ConfigurationReply.Invalid.class, put(n, text));
        }
        awaitReadBack("1 one");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void aBlankDiskAtAnExistingAddressLosesNothing(int lost) throws IOException {
        accept("7 seven");
        close(lost);
        open(lost, "blank", false);
        awaitReadBack("7 seven");
        accept("8 eight");
        Awaitility.await()
                .atMost(TIMEOUT)
                .until(() -> nodes.get(lost).voter().state().role() != LogRole.RECOVERING);
        int another = lost % 3 + 1;
        close(another);
        // there is a quorum only if the blank instance was admitted
        accept("9 nine");
        awaitReadBack("9 nine");
    }

    @Test
    void allRestartWithTheirDisks() throws IOException {
        accept("7 seven");
        for (int n = 1; n <= 3; n++) {
            close(n);
        }
        for (int n = 1; n <= 3; n++) {
            open(n, "disk", false);
        }
        awaitReadBack("7 seven");
    }

    @Test
    void aBlankInstanceAtANewAddressReplacesALostOne() throws IOException {
        accept("7 seven");
        close(1);
        open(4, "disk", false);
        List<InstanceId> expected =
                List.of(member(2).instance(), member(3).instance(), member(4).instance());
        Awaitility.await()
                .atMost(TIMEOUT)
                .until(() -> nodes.values().stream()
                        .allMatch(n -> n.voter().state().voters().equals(expected)));
        close(2);
        accept("8 eight");
        awaitReadBack("8 eight");
    }

    /** All six instances become voters although only three are seeds, so that two disks may be lost along with a power failure. */
    @Test
    void allInstancesBecomeVotersIfTwoDiskLossesAreTolerated() throws IOException {
        disksLost = 2;
        // stop the instances of the set-up first: a blank instance that starts while they run may replicate their log
        // and would then reject the new one
        for (int n = 1; n <= 3; n++) {
            close(n);
        }
        for (int n = 1; n <= 6; n++) {
            open(n, "two", true);
        }
        Awaitility.await().atMost(TIMEOUT).until(() -> nodes.values().stream().allMatch(ControlNode::isMember));
        accept("7 seven");
        for (int n = 1; n <= 6; n++) {
            close(n);
        }
        for (int n = 6; n >= 1; n--) {
            open(n, n <= 2 ? "blank" : "two", false);
        }
        awaitReadBack("7 seven");
        accept("8 eight");
    }

    /** A restarted instance that was replaced must not accept announcements, which would reach no entry. */
    @Test
    void aReplacedInstanceDetectsItSoonAfterARestart() throws IOException {
        accept("7 seven");
        close(1);
        open(4, "disk", false);
        Awaitility.await().atMost(TIMEOUT).until(nodes.get(4)::isMember);
        Awaitility.await()
                .atMost(TIMEOUT)
                .until(() -> !nodes.get(2)
                        .voter()
                        .state()
                        .voters()
                        .contains(member(1).instance()));
        open(1, "disk", false);
        Awaitility.await().atMost(REJOIN_TIMEOUT).until(() -> !nodes.get(1).isMember());
        Awaitility.await().atMost(TIMEOUT).until(nodes.get(1)::isMember);
    }

    /** Guards against two sides of a partition that count only themselves, because all programs have restarted. */
    @Test
    void theNumberOfEntriesOutlivesRestarts() throws IOException {
        accept("7 seven");
        Awaitility.await().atMost(TIMEOUT).until(() -> pollAll(4) == 4);
        for (int n = 1; n <= 3; n++) {
            close(n);
        }
        open(1, "disk", false);
        // longer than the time in which a restarted instance reports no number in any case
        Awaitility.await().during(UNKNOWN_COUNT).atMost(TIMEOUT).until(() -> poll("entry-1", 1) == 0);
        open(2, "disk", false);
        open(3, "disk", false);
        Awaitility.await().atMost(TIMEOUT).until(() -> pollAll(1) == 4);
    }

    /** Retries are leased once all entries have reported to the leader, and no more of them than there are. */
    @Test
    void theLeaderLeasesRetries() {
        accept("7 seven");
        List<String> holders = new ArrayList<>();
        long[] terms = new long[3];
        AtomicLong number = new AtomicLong();
        Awaitility.await().atMost(TIMEOUT).until(() -> {
            for (int entry = 1; entry <= 2; entry++) {
                for (int n : nodes.keySet()) {
                    RetryLeaseGrant grant = requestLease("entry-" + entry, n, terms[entry], number.incrementAndGet());
                    terms[entry] = grant == null ? terms[entry] : Math.max(terms[entry], grant.term());
                    if (grant != null && grant.services().contains("app")) {
                        holders.add("entry-" + entry);
                    }
                }
            }
            return !holders.isEmpty();
        });
        Assertions.assertEquals(1, holders.size());
    }

    private RetryLeaseGrant requestLease(String entry, int n, long term, long number) {
        RetryLeaseReport report = new RetryLeaseReport(term, number, 0, 1, List.of(), List.of("app"));
        FeedMessage.Poll poll =
                new FeedMessage.Poll("", 0, -1, 0, 0, Map.of(), 0, 0, "process-of-" + entry, Map.of(), report);
        return ((FeedMessage.Changes) call(entry, n, poll)).retryLeases();
    }

    /** Polls all instances as some entries, and returns the highest number of entries in the answers. */
    private int pollAll(int entries) {
        int most = 0;
        for (int entry = 1; entry <= entries; entry++) {
            for (int n : nodes.keySet()) {
                most = Math.max(most, poll("entry-" + entry, n));
            }
        }
        return most;
    }

    private int poll(String entry, int n) {
        FeedMessage.Poll poll = new FeedMessage.Poll("", 0, -1, 0, 0, Map.of(), 0, 0, null, null, null);
        return ((FeedMessage.Changes) call(entry, n, poll)).mostEntries();
    }

    @Test
    void oneInstanceSumsTheLoadOfAllEntries() {
        accept("7 seven");
        Awaitility.await().atMost(TIMEOUT).until(() -> {
            Map<String, Integer> sums = new HashMap<>();
            for (int entry = 1; entry <= 2; entry++) {
                for (int n = 1; n <= 3; n++) {
                    sums.putAll(report("entry-" + entry, n, Map.of("head", entry)));
                }
            }
            return sums.equals(Map.of("head", 3));
        });
    }

    private Map<String, Integer> report(String entry, int n, Map<String, Integer> running) {
        FeedMessage.LoadTotals sums = (FeedMessage.LoadTotals) call(entry, n, new FeedMessage.LoadReport(running));
        return sums.controls() ? sums.running() : Map.of();
    }

    private PeerMessage call(String entry, int n, PeerMessage message) {
        PeerCodec codec = new PeerCodec(ControlNode.messageTypes());
        try (PeerLink link = new PeerLink(member(n).peer(), "test", new InstanceId(entry), codec)) {
            Awaitility.await().atMost(TIMEOUT).until(link::isUp);
            return link.call(message, TIMEOUT).block(TIMEOUT);
        }
    }

    @Test
    void anInstanceThatIsNoVoterHasNoService() throws IOException {
        accept("7 seven");
        open(4, "disk", false);
        Assertions.assertNull(nodes.get(4).isMember() ? null : nodes.get(4).configurationService());
    }

    private void awaitVoters(int... numbers) {
        Set<InstanceId> expected =
                Arrays.stream(numbers).mapToObj(n -> member(n).instance()).collect(Collectors.toSet());
        Awaitility.await()
                .atMost(TIMEOUT)
                .until(() -> Arrays.stream(numbers)
                        .allMatch(n -> expected.equals(
                                        Set.copyOf(nodes.get(n).voter().state().voters()))
                                && nodes.get(n).isMember()));
    }

    /** Guards against a quorum that counts an instance which has stopped as planned, so that a lost disk ends it. */
    @Test
    void aPlannedReplacementLeavesAQuorumThatMayLoseADisk() throws IOException {
        accept("7 seven");
        open(4, "disk", false);
        awaitVoters(1, 2, 3, 4);
        nodes.get(1).leave(TIMEOUT);
        close(1);
        accept("8 eight");
        close(2);
        awaitReadBack("8 eight");
    }

    /** Guards against an instance that never joins again, since all voters that it knows are gone. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anInstanceThatMissedAllReplacementsJoinsThroughTheSeeds(boolean reloaded) throws IOException {
        accept("7 seven");
        close(1);
        open(4, "disk", false);
        awaitVoters(2, 3, 4);
        close(2);
        open(5, "disk", false, List.of(member(3), member(4)));
        awaitVoters(3, 4, 5);
        close(3);
        List<ControlMember> seeds = List.of(member(1), member(4), member(5));
        if (reloaded) {
            open(1, "disk", false);
            nodes.get(1).updateSeeds(seeds);
        } else {
            open(1, "disk", false, seeds);
        }
        awaitVoters(1, 4, 5);
        accept("8 eight");
        close(4);
        awaitReadBack("8 eight");
    }
}
