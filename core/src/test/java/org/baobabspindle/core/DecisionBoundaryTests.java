package org.baobabspindle.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Clock;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Guards the rule that the core module holds pure decisions: no I/O, no threads, no clock and no hidden randomness. */
class DecisionBoundaryTests {
    private final JavaClasses classes = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.baobabspindle.core");

    @Test
    void coreUsesNoNetworkConcurrencyServerOrDatabasePackages() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.net..",
                        "java.nio.channels..",
                        "java.util.concurrent..",
                        "org.eclipse.jetty..",
                        "java.sql..")
                .check(classes);
    }

    @Test
    void coreReadsNoClockAndNoHiddenRandomness() {
        noClasses().should().callMethod(Instant.class, "now").check(classes);
        noClasses().should().callMethod(System.class, "nanoTime").check(classes);
        noClasses().should().callMethod(System.class, "currentTimeMillis").check(classes);
        noClasses().should().callMethod(Math.class, "random").check(classes);
        noClasses().should().dependOnClassesThat().areAssignableTo(Clock.class).check(classes);
        noClasses().should().dependOnClassesThat().belongToAnyOf(Thread.class).check(classes);
    }
}
