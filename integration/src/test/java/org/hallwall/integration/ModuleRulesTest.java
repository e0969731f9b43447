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
package org.hallwall.integration;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the dependencies between modules and of the decision classes. */
class ModuleRulesTest {

    private static final String ROOT = "org.hallwall.";
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("org.hallwall");

    @ParameterizedTest
    @CsvSource({
        "core, core",
        "program, core program",
        "wire, core wire",
        "log, core wire log",
        "resource, core wire resource",
        "engine, core engine",
        "domain, core wire resource engine domain",
        "control, core program wire log resource control",
        "entry, core program wire resource engine domain entry",
        "serving, core program wire log serving",
        "platform, core program wire log serving platform",
        "simulation, core program serving simulation",
        "cli, core program resource cli",
        "fakes, core program engine fakes",
        "load, core program resource engine domain fakes load"
    })
    void modulesDependOnlyOnAllowedModules(String module, String allowed) {
        DescribedPredicate<JavaClass> other = DescribedPredicate.describe(
                "belong to another module", c -> c.getPackageName().startsWith(ROOT) && !belongsToAny(c, allowed));
        ArchRuleDefinition.noClasses()
                .that()
                .resideInAPackage(ROOT + module + "..")
                .should()
                .dependOnClassesThat(other)
                .check(CLASSES);
    }

    /** Decision classes must neither perform I/O nor read a clock. */
    @ParameterizedTest
    @CsvSource({
        "log.LogReplica",
        "serving.group.GroupPlan",
        "serving.group.StagingPlan",
        "serving.group.GroupFormation",
        "serving.group.PackingSearch",
        "serving.relay.StreamCapacity",
        "domain.LeaseElector",
        "domain.GroupPlanner"
    })
    void decisionClassesArePure(String name) {
        ArchRuleDefinition.noClasses()
                .that()
                .haveFullyQualifiedName(ROOT + name)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.io..", "java.nio..", "java.net..", "reactor..", "io.netty..", "..core.time..")
                .check(CLASSES);
    }

    private static boolean belongsToAny(JavaClass c, String allowed) {
        for (String module : allowed.split(" ")) {
            if (c.getPackageName().equals(ROOT + module) || c.getPackageName().startsWith(ROOT + module + ".")) {
                return true;
            }
        }
        return false;
    }
}
