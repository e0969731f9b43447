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
package org.hallwall.serving.permit;

/**
 * What an entry asks of the account of one target.
 *
 * @param limit what it knows of the target's limit
 * @param heard whether it has heard so from the target since the account was told last
 * @param wanted how many permits it has requests for
 * @param unused how many permits it has let lapse since it asked last
 */
public record PermitAsk(LimitReport limit, boolean heard, int wanted, int unused) {}
