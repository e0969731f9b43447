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
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.hallwall.wire.PeerLink;
import org.jboss.logging.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/** Follows the feed of one control instance by polls, one outstanding at a time. */
public final class FeedFollower implements Closeable {

    private static final Logger LOG = Logger.getLogger(FeedFollower.class);
    /** How long a control instance holds a poll when it has no news; bounds the age of heartbeats at the controller. */
    private static final long WAIT_MILLIS = 400;
    /** When an answer counts as lost: the wait and a slow link. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(WAIT_MILLIS + 1_500);
    /** The pause after a failed poll. */
    private static final Duration PAUSE = Duration.ofMillis(100);

    private final String name;
    private final PeerLink link;
    private final boolean wantsHeartbeats;
    private final LongSupplier configurationVersion;
    private final LongSupplier suspectsVersion;
    private final Supplier<Map<String, Integer>> streams;
    private final Consumer<FeedMessage.News> consumer;
    private String boot = "";
    private long after;
    private long heardAfter;
    private volatile boolean inTouch;
    private volatile boolean everInTouch;
    private volatile BooleanSupplier stopped = () -> false;
    private volatile Disposable current;

    /**
     * Creates a follower; {@link #start()} starts it.
     *
     * @param name the control instance, for logs
     * @param link the link to it
     * @param wantsHeartbeats whether heartbeats without changes are wanted
     * @param configurationVersion gives the version that is known already
     * @param suspectsVersion gives the version of the suspects that is known already
     * @param streams gives the streams in progress by model
     * @param consumer takes the news; called in order
     */
    public FeedFollower(
            String name,
            PeerLink link,
            boolean wantsHeartbeats,
            LongSupplier configurationVersion,
            LongSupplier suspectsVersion,
            Supplier<Map<String, Integer>> streams,
            Consumer<FeedMessage.News> consumer) {
        this.name = name;
        this.link = link;
        this.wantsHeartbeats = wantsHeartbeats;
        this.configurationVersion = configurationVersion;
        this.suspectsVersion = suspectsVersion;
        this.streams = streams;
        this.consumer = consumer;
    }

    /** Starts to follow. */
    public void start() {
        next();
    }

    /**
     * Says whether the last poll was answered.
     *
     * @return true if it was
     */
    public boolean isInTouch() {
        return inTouch;
    }

    /**
     * Says whether any poll was ever answered.
     *
     * @return true if one was
     */
    public boolean wasInTouch() {
        return everInTouch;
    }

    @Override
    public void close() {
        stopped = () -> true;
        Disposable d = current;
        if (d != null) {
            d.dispose();
        }
    }

    private void next() {
        if (stopped.getAsBoolean()) {
            return;
        }
        FeedMessage.Poll poll = new FeedMessage.Poll(
                boot,
                after,
                wantsHeartbeats ? heardAfter : -1,
                configurationVersion.getAsLong(),
                WAIT_MILLIS,
                streams.get(),
                suspectsVersion.getAsLong());
        current = link.call(poll, ANSWER_TIMEOUT).cast(FeedMessage.News.class).subscribe(this::take, this::lost);
    }

    private void take(FeedMessage.News news) {
        if (!inTouch) {
            LOG.infof("feed: in touch with control instance %s, configuration %d", name, news.configurationVersion());
        }
        inTouch = true;
        everInTouch = true;
        try {
            consumer.accept(news);
            boot = news.boot();
            after = news.next();
            heardAfter = news.heardNext();
        } catch (RuntimeException e) {
            LOG.errorf(e, "feed: news of %s cannot be taken", name);
            pause();
            return;
        }
        next();
    }

    private void lost(Throwable e) {
        if (inTouch) {
            LOG.warnf("feed: lost control instance %s: %s", name, e.getMessage());
        }
        inTouch = false;
        pause();
    }

    private void pause() {
        current = Mono.delay(PAUSE).subscribe(t -> next());
    }
}
