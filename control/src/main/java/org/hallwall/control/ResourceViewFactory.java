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
package org.hallwall.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.hallwall.control.ResourceView.Condition;
import org.hallwall.resource.ModelGroupSpec;
import org.hallwall.resource.Resource;
import org.hallwall.resource.ResourceKind;
import org.hallwall.resource.ResourceMessage.DomainReport;
import org.hallwall.resource.ResourceMessage.GroupCount;

/** Combines declared resources with the reports of failure domains. */
final class ResourceViewFactory {

    private static final long REPORT_TTL_MILLIS = 5_000;

    private final ReportRegistry reports;

    ResourceViewFactory(ReportRegistry reports) {
        this.reports = reports;
    }

    ResourceView create(Resource r) {
        boolean group = r.kind() == ResourceKind.MODEL_GROUP;
        return new ResourceView(
                r.kind().label(),
                r.name(),
                r.generation(),
                r.resourceVersion(),
                r.specTree(),
                group ? r.shares() : null,
                group ? status(r) : null);
    }

    List<ResourceView> createAll(List<Resource> resources) {
        List<ResourceView> out = new ArrayList<>();
        for (Resource r : resources) {
            out.add(create(r));
        }
        return out;
    }

    private ResourceView.Status status(Resource r) {
        long observed = r.generation();
        int complete = 0;
        int current = 0;
        double downtime = 0;
        List<String> missing = new ArrayList<>();
        Map<String, GroupCount> counts = counts(r.name());
        for (String domain : r.shares().keySet()) {
            GroupCount c = counts.get(domain);
            if (c == null) {
                missing.add(domain);
                observed = 0;
            } else {
                observed = Math.min(observed, c.generation());
            }
        }
        for (GroupCount c : counts.values()) {
            complete += c.complete();
            current += c.current();
            downtime += c.downtimeSeconds();
        }
        return new ResourceView.Status(
                observed, complete, current, downtime, conditions(r, complete, current, missing));
    }

    private Map<String, GroupCount> counts(String group) {
        Map<String, GroupCount> out = new TreeMap<>();
        for (ReportRegistry.AgedReport<DomainReport> a : reports.domains()) {
            GroupCount c = a.report().groups().get(group);
            if (c != null && a.ageMillis() < REPORT_TTL_MILLIS) {
                out.put(a.report().domain().value(), c);
            }
        }
        return out;
    }

    private static List<Condition> conditions(Resource r, int complete, int current, List<String> missing) {
        int wanted = r.readSpec(ModelGroupSpec.class).replicas();
        List<Condition> out = new ArrayList<>();
        out.add(new Condition(
                "Available", complete > 0 || wanted == 0, complete + " of " + wanted + " replicas are available"));
        out.add(new Condition(
                "Converged",
                current == wanted && complete == wanted,
                current + " of " + wanted + " replicas have the declared version"));
        if (!missing.isEmpty()) {
            out.add(new Condition("DomainsHeard", false, "no recent report from " + String.join(", ", missing)));
        }
        return out;
    }
}
