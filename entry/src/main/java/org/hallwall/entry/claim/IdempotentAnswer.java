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

import org.hallwall.core.id.InstanceId;
import reactor.core.publisher.Flux;

/**
 * The answer to a request with an idempotency key, or the entry to forward the request to.
 *
 * @param parts the parts of the answer; null if another entry owns the run
 * @param owner the entry that owns the run; null if the answer is available on this one
 * @param <T> the type of the parts
 */
public record IdempotentAnswer<T>(Flux<T> parts, InstanceId owner) {}
