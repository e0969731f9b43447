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
 * @param mintedIn the failure domain whose entry made the key; null if the caller made it
 * @param mintedAt when it was made, in milliseconds since 1970; zero if the caller made it
 */
public record ClaimKey(String id, FailureDomainId mintedIn, long mintedAt) {

    private static final String PREFIX = "hw1";
    private static final String SEPARATOR = "~";
    private static final int PARTS = 4;
    private static final int ID_CHARS = 32;

    /**
     * Reads a caller's key.
     *
     * @param workspace the workspace
     * @param text the key as the caller sent it
     * @return the key
     */
    public static ClaimKey of(WorkspaceId workspace, String text) {
        String id = DigestUtils.sha256Hex(workspace + "\n" + text).substring(0, ID_CHARS);
        String[] parts = text.split(SEPARATOR);
        if (parts.length == PARTS && PREFIX.equals(parts[0])) {
            try {
                return new ClaimKey(id, new FailureDomainId(parts[1]), Long.parseLong(parts[2]));
            } catch (IllegalArgumentException e) {
                // Looks like a minted key and is none: it is a caller's own.
            }
        }
        return new ClaimKey(id, null, 0);
    }

    /**
     * Makes a key.
     *
     * @param domain the failure domain that is to be its home
     * @param now the time, in milliseconds since 1970
     * @return the text for the caller
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
     * Finds the failure domain that keeps the claim.
     *
     * @param domains all failure domains
     * @return the domain that made the key, or the one that its hash picks
     */
    public FailureDomainId home(Collection<FailureDomainId> domains) {
        if (mintedIn != null && domains.contains(mintedIn)) {
            return mintedIn;
        }
        return ranked(domains).get(0);
    }

    /**
     * Ranks places for this key by rendezvous hashing.
     *
     * @param places the places
     * @param <T> the type of the places
     * @return the places, the best first
     */
    public <T> List<T> ranked(Collection<T> places) {
        List<T> out = new ArrayList<>(places);
        out.sort(Comparator.comparingLong((T p) -> weight(p)).thenComparing(Object::toString));
        return out;
    }

    private long weight(Object place) {
        return MurmurHash3.hash128x64((id + "\n" + place).getBytes(StandardCharsets.UTF_8))[0];
    }
}
