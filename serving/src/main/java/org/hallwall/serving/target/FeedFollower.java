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
package org.hallwall.serving.target;

import java.io.Closeable;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.hallwall.wire.PeerLink;
import org.jboss.logging.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/** Follows the feed of one control instance by long polling, with one outstanding poll at a time. */
public final class FeedFollower implements Closeable {

    private static final Logger LOG = Logger.getLogger(FeedFollower.class);
    /** How long a control instance holds a poll without changes; bounds the delay of heartbeats. */
    private static final long POLL_WAIT_MILLIS = 400;
    /** Allows for network delays in addition to the wait. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(POLL_WAIT_MILLIS + 1_500);

    private static final Duration RETRY_DELAY = Duration.ofMillis(100);

    private final String name;
    private final PeerLink link;
    private final boolean wantsHeartbeats;
    private final Supplier<KnownConfiguration> configuration;
    private final LongSupplier suspectsVersion;
    private final Supplier<FeedMessage.EntryUsage> usage;
    private final Consumer<FeedMessage.Changes> consumer;
    private String boot = "";
    private long after;
    private long heardAfter;
    private volatile boolean connected;
    private volatile boolean everConnected;
    private volatile BooleanSupplier stopped = () -> false;
    private volatile Disposable current;

    /**
     * Creates a follower; call {@link #start()} to begin polling.
     *
     * @param name the name of the control instance, for logs
     * @param link the link to it
     * @param wantsHeartbeats whether to request heartbeats without changes
     * @param configuration supplies the known version of the configuration
     * @param suspectsVersion supplies the known version of the suspects
     * @param usage supplies what is reported with each poll
     * @param consumer receives the answers in order
     */
    public FeedFollower(
            String name,
            PeerLink link,
            boolean wantsHeartbeats,
            Supplier<KnownConfiguration> configuration,
            LongSupplier suspectsVersion,
            Supplier<FeedMessage.EntryUsage> usage,
            Consumer<FeedMessage.Changes> consumer) {
        this.name = name;
        this.link = link;
        this.wantsHeartbeats = wantsHeartbeats;
        this.configuration = configuration;
        this.suspectsVersion = suspectsVersion;
        this.usage = usage;
        this.consumer = consumer;
    }

    /** Starts polling. */
    public void start() {
        poll();
    }

    /**
     * Returns whether the last poll was answered.
     *
     * @return true if it was answered
     */
    public boolean isConnected() {
        return connected;
    }

    /**
     * Returns whether any poll has been answered.
     *
     * @return true if any has
     */
    public boolean wasEverConnected() {
        return everConnected;
    }

    @Override
    public void close() {
        stopped = () -> true;
        Disposable d = current;
        if (d != null) {
            d.dispose();
        }
    }

    private void poll() {
        if (stopped.getAsBoolean()) {
            return;
        }
        KnownConfiguration known = configuration.get();
        FeedMessage.EntryUsage reported = usage.get();
        FeedMessage.Poll poll = new FeedMessage.Poll(
                boot,
                after,
                wantsHeartbeats ? heardAfter : -1,
                known.version(),
                POLL_WAIT_MILLIS,
                reported.streams(),
                suspectsVersion.getAsLong(),
                known.checksum(),
                reported.process(),
                reported.openRetries(),
                reported.retryLeases());
        current = link.call(poll, ANSWER_TIMEOUT)
                .cast(FeedMessage.Changes.class)
                .subscribe(this::onAnswer, this::onFailure);
    }

    private void onAnswer(FeedMessage.Changes news) {
        if (!connected) {
            LOG.infof("feed: connected to control instance %s, configuration %d", name, news.configurationVersion());
        }
        connected = true;
        everConnected = true;
        try {
            consumer.accept(news);
            boot = news.boot();
            after = news.next();
            heardAfter = news.heardNext();
        } catch (RuntimeException | Error e) {
            scheduleRetry();
            LOG.errorf(e, "feed: an answer of control instance %s cannot be processed", name);
            return;
        }
        poll();
    }

    private void onFailure(Throwable e) {
        if (connected) {
            LOG.warnf("feed: lost connection to control instance %s: %s", name, e.getMessage());
        }
        connected = false;
        scheduleRetry();
    }

    private void scheduleRetry() {
        current = Mono.delay(RETRY_DELAY).subscribe(t -> poll());
    }
}
