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
package org.hallwall.entry.claim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.UUID;

import org.apache.commons.codec.digest.DigestUtils;
import org.apache.commons.codec.digest.MurmurHash3;
import org.hallwall.core.id.FailureDomainId;
import org.hallwall.core.id.WorkspaceId;

/**
 * An idempotency key of a workspace.
 *
 * @param id the hash of the workspace and the caller's key
 * @param mintedIn the failure domain whose entry issued the key; null if the caller chose it
 * @param mintedAt when the key was issued, in milliseconds since the epoch; zero if the caller chose it
 */
public record IdempotencyKey(String id, FailureDomainId mintedIn, long mintedAt) {

    private static final String PREFIX = "hw1";
    private static final String SEPARATOR = "~";
    private static final int PART_COUNT = 4;
    private static final int ID_LENGTH = 32;

    /**
     * Parses the key of a request.
     *
     * @param workspace the workspace
     * @param text the key as the caller sent it
     * @return the key
     */
    public static IdempotencyKey parse(WorkspaceId workspace, String text) {
        String id = DigestUtils.sha256Hex(workspace + "\n" + text).substring(0, ID_LENGTH);
        String[] parts = text.split(SEPARATOR);
        if (parts.length == PART_COUNT && PREFIX.equals(parts[0])) {
            try {
                return new IdempotencyKey(id, new FailureDomainId(parts[1]), Long.parseLong(parts[2]));
            } catch (IllegalArgumentException e) {
                // Not a valid issued key: treated as one that the caller chose.
            }
        }
        return new IdempotencyKey(id, null, 0);
    }

    /**
     * Issues a new key.
     *
     * @param domain the home failure domain of the key
     * @param now the current time, in milliseconds since the epoch
     * @return the key as sent to the caller
     */
    public static String mint(FailureDomainId domain, long now) {
        return String.join(
                SEPARATOR,
                PREFIX,
                domain.value(),
                Long.toString(now),
                UUID.randomUUID().toString());
    }

    /**
     * Returns the failure domain that stores the claim on this key.
     *
     * @param domains all failure domains
     * @return the domain that issued the key, or the one selected by its hash
     */
    public FailureDomainId homeDomain(Collection<FailureDomainId> domains) {
        if (mintedIn != null && domains.contains(mintedIn)) {
            return mintedIn;
        }
        return rankByHash(domains).get(0);
    }

    /**
     * Ranks candidates for this key by rendezvous hashing.
     *
     * @param candidates the candidates
     * @param <T> the type of the candidates
     * @return the candidates, the highest rank first
     */
    public <T> List<T> rankByHash(Collection<T> candidates) {
        List<T> out = new ArrayList<>(candidates);
        out.sort(Comparator.comparingLong((T c) -> weight(c)).thenComparing(Object::toString));
        return out;
    }

    private long weight(Object candidate) {
        return MurmurHash3.hash128x64((id + "\n" + candidate).getBytes(StandardCharsets.UTF_8))[0];
    }
}
