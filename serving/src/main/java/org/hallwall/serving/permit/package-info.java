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
/**
 * Divides a rate limit of the whole system over its entries.
 *
 * <p>A target names the requests a second that it takes from all entries together. The control instance that controls the groups
 * keeps one account for each limited target ({@code PermitLedger}): a token bucket that fills at the named rate. Whatever is sent to
 * the target uses up one permit of it. Entries ask for permits in advance, for the requests that they have, and hold them for
 * a short lease ({@code EntryPermits}); what they do not use in that time they give back. So the sum over all entries is bounded by
 * one bucket and one lease, however many entries there are and however uneven their load is.
 *
 * <p>An entry that loses touch with the account sends a fixed part of its even share, one request at a time. A target that takes next
 * to nothing gets a request now and then all the same, since only its answers can tell that the limit has ended.
 *
 * <p>A stricter statement of a target counts at once. A laxer one counts only if it was surely made later: at its entry, if its request was
 * sent after the stricter one was heard ({@code LimitStatement}); at the account, if the entry knew the account's version of the limit
 * when it sent the request. Entries learn limits from each other through the account.
 */
package org.hallwall.serving.permit;
