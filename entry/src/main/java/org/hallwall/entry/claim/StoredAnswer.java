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

import org.hallwall.engine.RunFrame;

/**
 * A whole answer that is kept for whoever asks again.
 *
 * @param status the HTTP status of a service's reply; zero for a chat completion
 * @param contentType the type of a service's body; null for a chat completion
 * @param body the body, or the text of a chat completion in UTF-8
 * @param end how a chat completion ended; null for a service's reply
 * @param usage the tokens used by a chat completion; null for a service's reply
 */
public record StoredAnswer(int status, String contentType, byte[] body, RunFrame.End end, RunFrame.Usage usage) {}
