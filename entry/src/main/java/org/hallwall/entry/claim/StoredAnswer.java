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
 * A complete answer that is stored for retries of the same request.
 *
 * @param status the HTTP status of a service response; zero for a chat completion
 * @param contentType the content type of a service response; null for a chat completion
 * @param body the body of a service response, or the text of a chat completion in UTF-8
 * @param end the end of a chat completion; null for a service response
 * @param usage the token usage of a chat completion; null for a service response
 */
public record StoredAnswer(int status, String contentType, byte[] body, RunFrame.End end, RunFrame.Usage usage) {}
