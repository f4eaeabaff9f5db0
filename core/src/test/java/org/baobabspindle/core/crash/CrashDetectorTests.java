package org.baobabspindle.core.crash;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.Liveness;
import org.baobabspindle.core.fleet.ServerState;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.id.PromptPart;
import org.baobabspindle.core.id.RequestFingerprint;
import org.baobabspindle.core.time.Moment;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the distinction between servers that have crashed and servers that have only lost an answer. */
class CrashDetectorTests {
    private static final CrashCause REQUEST = CrashCause.of(RequestFingerprint.of("a"));
    private static final CrashCause OTHER = CrashCause.of(RequestFingerprint.of("b"));
    private static final BackendServer SERVER = server("s1", 7001, 1_000);

    private static final BackendServer.Lifetime OTHER_SERVER =
            server("s2", 7002, 1_000).lifetime();

    /** Shortly before a suspicion of a request that broke at the beginning expires. */
    private static final Moment BEFORE_EXPIRY = at(14_000);

    private final CrashDetector detector = new CrashDetector();

    private static Moment at(long millis) {
        return new Moment(0, 0).plus(Duration.ofMillis(millis));
    }

    private static BackendServer server(String id, int port, long born) {
        return new BackendServer(
                InstanceId.of(id),
                "desk",
                "127.0.0.1",
                port,
                AvailabilityZone.of("z1"),
                ServerState.READY,
                6,
                born,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
    }

    @Test
    void forgetsBreaksOfAPartitionedEntryUnlessAnotherServerWasHeardFrom() {
        BackendServer last = server("s3", 7003, 1_000);
        detector.requestBroken(List.of(REQUEST), SERVER, at(0));
        detector.answerReceived(OTHER_SERVER, at(200));
        detector.requestBroken(List.of(OTHER), last, at(250));
        detector.forgetUncorroborated();
        assertThat(detector.unresolvedFailureDomains(REQUEST, at(300))).isEqualTo(1);
        assertThat(detector.unresolvedFailureDomains(OTHER, at(300))).isEqualTo(0);
    }

    @Nested
    class Probing {
        @Test
        void probesAServerAfterAnInitialDelay() {
            detector.requestBroken(List.of(REQUEST), SERVER, at(0));
            assertThat(detector.dueProbes(at(149))).isEmpty();
            assertThat(detector.dueProbes(at(150))).containsExactly(SERVER);
            assertThat(detector.dueProbes(at(151))).isEmpty();
        }

        @Test
        void probesAnUnresponsiveServerSixTimes() {
            detector.requestBroken(List.of(REQUEST), SERVER, at(0));
            int probes = 0;
            for (int t = 0; t < 14_000; t += 50) {
                for (BackendServer s : detector.dueProbes(at(t))) {
                    probes++;
                    detector.probeCompleted(s.lifetime(), Liveness.SILENT, at(t));
                }
            }
            assertThat(probes).isEqualTo(6);
            assertThat(detector.unresolvedFailureDomains(REQUEST, BEFORE_EXPIRY))
                    .isEqualTo(1);
        }

        @Test
        void unresolvedSuspicionExpires() {
            detector.requestBroken(List.of(REQUEST), SERVER, at(0));
            detector.dueProbes(at(15_001));
            assertThat(detector.isEmpty()).isTrue();
        }
    }

    @Nested
    class Resolution {
        @Test
        void reportsACrashForEachRequestThatATerminatedServerBrokeOff() {
            detector.requestBroken(List.of(REQUEST), SERVER, at(0));
            detector.requestBroken(List.of(OTHER), SERVER, at(1));
            detector.answerReceived(OTHER_SERVER, at(120));
            assertThat(detector.probeCompleted(SERVER.lifetime(), Liveness.ENDED, at(150)))
                    .containsExactly(Crash.of(REQUEST, SERVER), at(0), Crash.of(OTHER, SERVER), at(1));
            assertThat(detector.isEmpty()).isTrue();
        }

        /** The connections of an entry that is disconnected itself may be refused, too. */
        @Test
        void reportsNoCrashWithoutCorroboration() {
            detector.requestBroken(List.of(REQUEST), SERVER, at(0));
            detector.answerReceived(OTHER_SERVER, at(90));
            assertThat(detector.isCorroborated(SERVER.lifetime())).isFalse();
            assertThat(detector.probeCompleted(SERVER.lifetime(), Liveness.ENDED, at(150)))
                    .isEmpty();
            assertThat(detector.unresolvedFailureDomains(REQUEST, BEFORE_EXPIRY))
                    .isEqualTo(1);
        }

        @Test
        void crashedServersAreNotCorroborationCandidates() {
            BackendServer crashed = server("s3", 7003, 1);
            BackendServer healthy = server("s4", 7004, 1);
            detector.requestBroken(List.of(OTHER), crashed, at(0));
            detector.answerReceived(OTHER_SERVER, at(120));
            detector.probeCompleted(crashed.lifetime(), Liveness.ENDED, at(150));
            detector.requestBroken(List.of(REQUEST), SERVER, at(200));
            assertThat(detector.corroborationCandidates(SERVER, List.of(SERVER, crashed, healthy)))
                    .containsExactly(healthy);
        }

        @Test
        void runningServerEndsTheSuspicion() {
            detector.requestBroken(List.of(REQUEST), SERVER, at(0));
            assertThat(detector.probeCompleted(SERVER.lifetime(), Liveness.RUNNING, at(150)))
                    .isEmpty();
            assertThat(detector.isEmpty()).isTrue();
        }

        @Test
        void probesAgainForARequestBrokenAfterTheProbeWasSent() {
            detector.requestBroken(List.of(REQUEST), SERVER, at(0));
            assertThat(detector.dueProbes(at(150))).hasSize(1);
            detector.requestBroken(List.of(OTHER), SERVER, at(160));
            detector.probeCompleted(SERVER.lifetime(), Liveness.RUNNING, at(150));
            assertThat(detector.unresolvedFailureDomains(REQUEST, BEFORE_EXPIRY))
                    .isEqualTo(0);
            assertThat(detector.unresolvedFailureDomains(OTHER, BEFORE_EXPIRY)).isEqualTo(1);
            assertThat(detector.dueProbes(at(350))).containsExactly(SERVER);
        }

        @Test
        void laterDataOfTheServerEndsTheSuspicion() {
            detector.requestBroken(List.of(REQUEST), SERVER, at(0));
            detector.answerReceived(SERVER.lifetime(), at(120));
            assertThat(detector.isEmpty()).isTrue();
        }

        @Test
        void reportsNoCrashForARequestThatWasServed() {
            detector.requestBroken(List.of(REQUEST), SERVER, at(0));
            detector.requestBroken(List.of(OTHER), SERVER, at(0));
            detector.requestServed(List.of(REQUEST));
            detector.answerReceived(OTHER_SERVER, at(120));
            assertThat(detector.probeCompleted(SERVER.lifetime(), Liveness.ENDED, at(150)))
                    .containsExactly(Crash.of(OTHER, SERVER), at(0));
        }

        @Test
        void dataSentBeforeTheBreakDoesNotEndTheSuspicion() {
            detector.requestBroken(List.of(REQUEST), SERVER, at(0));
            detector.answerReceived(SERVER.lifetime(), at(80));
            assertThat(detector.unresolvedFailureDomains(REQUEST, BEFORE_EXPIRY))
                    .isEqualTo(1);
        }
    }

    @Nested
    class ServerList {
        @Test
        void laterLifetimeWithTheSameIdProvesACrash() {
            detector.requestBroken(List.of(REQUEST), SERVER, at(0));
            assertThat(detector.serversListed(List.of(server("s1", 7001, 4_000))))
                    .containsExactly(Crash.of(REQUEST, SERVER), at(0));
        }

        @Test
        void laterServerAtTheSameAddressProvesACrash() {
            detector.requestBroken(List.of(REQUEST), SERVER, at(0));
            assertThat(detector.serversListed(List.of(server("s9", 7001, 4_000))))
                    .hasSize(1);
        }

        @Test
        void missingServerDoesNotProveACrash() {
            detector.requestBroken(List.of(REQUEST), SERVER, at(0));
            assertThat(detector.serversListed(List.of(server("s2", 7002, 4_000))))
                    .isEmpty();
            assertThat(detector.unresolvedFailureDomains(REQUEST, BEFORE_EXPIRY))
                    .isEqualTo(1);
        }

        @Test
        void earlierServerAtTheSameAddressDoesNotProveACrash() {
            detector.requestBroken(List.of(REQUEST), SERVER, at(0));
            assertThat(detector.serversListed(List.of(server("s0", 7001, 500), SERVER)))
                    .isEmpty();
        }
    }

    @Test
    void silentServerCountsAgainstAPromptPartForOneSecond() {
        CrashCause part = CrashCause.of(PromptPart.of("p"));
        detector.requestBroken(List.of(REQUEST, part), SERVER, at(0));
        assertThat(detector.unresolvedFailureDomains(part, at(1_000))).isEqualTo(1);
        assertThat(detector.unresolvedFailureDomains(part, at(1_001))).isEqualTo(0);
        assertThat(detector.unresolvedFailureDomains(REQUEST, at(1_001))).isEqualTo(1);
    }

    @Test
    void silentServerCountsAgainstARequestForFifteenSeconds() {
        detector.requestBroken(List.of(REQUEST), SERVER, at(0));
        assertThat(detector.unresolvedFailureDomains(REQUEST, at(15_000))).isEqualTo(1);
        assertThat(detector.unresolvedFailureDomains(REQUEST, at(15_001))).isEqualTo(0);
    }
}
