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
import org.baobabspindle.core.id.RequestFingerprint;
import org.baobabspindle.core.time.Moment;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Servers that break requests off: some have ended, some have only lost an answer. */
class CrashDetectorTests {
    private static final RequestFingerprint REQUEST = RequestFingerprint.of("a");
    private static final RequestFingerprint OTHER = RequestFingerprint.of("b");
    private static final BackendServer SERVER = server("s1", 7001, 1_000);

    private static final BackendServer.Lifetime WITNESS =
            server("s2", 7002, 1_000).lifetime();

    private final CrashDetector evidence = new CrashDetector();

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

    @Nested
    class Questions {
        @Test
        void aServerIsAskedOnceOtherRequestsHaveHadTimeToProveThatItRuns() {
            evidence.requestBroken(REQUEST, SERVER, at(0));
            assertThat(evidence.dueProbes(at(149))).isEmpty();
            assertThat(evidence.dueProbes(at(150))).containsExactly(SERVER);
            assertThat(evidence.dueProbes(at(151))).isEmpty();
        }

        @Test
        void aSilentServerIsAskedAFewTimesAtGrowingIntervals() {
            evidence.requestBroken(REQUEST, SERVER, at(0));
            int questions = 0;
            for (int t = 0; t < 14_000; t += 50) {
                for (BackendServer s : evidence.dueProbes(at(t))) {
                    questions++;
                    evidence.probeCompleted(s.lifetime(), Liveness.SILENT, at(t));
                }
            }
            assertThat(questions).isEqualTo(6);
            assertThat(evidence.unresolvedFailureDomains(REQUEST)).isEqualTo(1);
        }

        @Test
        void anInquiryEndsWhenNothingHasSettledIt() {
            evidence.requestBroken(REQUEST, SERVER, at(0));
            evidence.dueProbes(at(15_001));
            assertThat(evidence.isEmpty()).isTrue();
        }
    }

    @Nested
    class Settled {
        @Test
        void aServerThatHasEndedCrashedUnderEachRequestItBrokeOff() {
            evidence.requestBroken(REQUEST, SERVER, at(0));
            evidence.requestBroken(OTHER, SERVER, at(1));
            evidence.answerReceived(WITNESS, at(120));
            assertThat(evidence.probeCompleted(SERVER.lifetime(), Liveness.ENDED, at(150)))
                    .containsExactly(Crash.of(REQUEST, SERVER), at(0), Crash.of(OTHER, SERVER), at(1));
            assertThat(evidence.isEmpty()).isTrue();
        }

        /** Connections of an entry that is cut off may be refused, too. */
        @Test
        void anEndThatNoOtherServerWitnessesProvesNothing() {
            evidence.requestBroken(REQUEST, SERVER, at(0));
            evidence.answerReceived(WITNESS, at(90));
            assertThat(evidence.isCorroborated(SERVER.lifetime())).isFalse();
            assertThat(evidence.probeCompleted(SERVER.lifetime(), Liveness.ENDED, at(150)))
                    .isEmpty();
            assertThat(evidence.unresolvedFailureDomains(REQUEST)).isEqualTo(1);
        }

        @Test
        void serversThatAreInDoubtThemselvesAreNoWitnesses() {
            BackendServer ended = server("s3", 7003, 1);
            BackendServer sound = server("s4", 7004, 1);
            evidence.requestBroken(OTHER, ended, at(0));
            evidence.answerReceived(WITNESS, at(120));
            evidence.probeCompleted(ended.lifetime(), Liveness.ENDED, at(150));
            evidence.requestBroken(REQUEST, SERVER, at(200));
            assertThat(evidence.corroborationCandidates(SERVER, List.of(SERVER, ended, sound)))
                    .containsExactly(sound);
        }

        @Test
        void aServerThatRunsHasOnlyLostAnswers() {
            evidence.requestBroken(REQUEST, SERVER, at(0));
            assertThat(evidence.probeCompleted(SERVER.lifetime(), Liveness.RUNNING, at(150)))
                    .isEmpty();
            assertThat(evidence.isEmpty()).isTrue();
        }

        @Test
        void whatBrokeOffAfterTheQuestionIsAskedAboutAnew() {
            evidence.requestBroken(REQUEST, SERVER, at(0));
            assertThat(evidence.dueProbes(at(150))).hasSize(1);
            evidence.requestBroken(OTHER, SERVER, at(160));
            evidence.probeCompleted(SERVER.lifetime(), Liveness.RUNNING, at(150));
            assertThat(evidence.unresolvedFailureDomains(REQUEST)).isEqualTo(0);
            assertThat(evidence.unresolvedFailureDomains(OTHER)).isEqualTo(1);
            assertThat(evidence.dueProbes(at(350))).containsExactly(SERVER);
        }

        @Test
        void anAnswerOfTheSameServerProvesThatItRuns() {
            evidence.requestBroken(REQUEST, SERVER, at(0));
            evidence.answerReceived(SERVER.lifetime(), at(120));
            assertThat(evidence.isEmpty()).isTrue();
        }

        @Test
        void aWholeAnswerToTheRequestShowsThatItEndedNoServer() {
            evidence.requestBroken(REQUEST, SERVER, at(0));
            evidence.requestBroken(OTHER, SERVER, at(0));
            evidence.requestServed(REQUEST);
            evidence.answerReceived(WITNESS, at(120));
            assertThat(evidence.probeCompleted(SERVER.lifetime(), Liveness.ENDED, at(150)))
                    .containsExactly(Crash.of(OTHER, SERVER), at(0));
        }

        @Test
        void bytesThatWereStillOnTheWayProveNothing() {
            evidence.requestBroken(REQUEST, SERVER, at(0));
            evidence.answerReceived(SERVER.lifetime(), at(80));
            assertThat(evidence.unresolvedFailureDomains(REQUEST)).isEqualTo(1);
        }
    }

    @Nested
    class Lists {
        @Test
        void aLaterLifeUnderTheSameIdProvesTheEnd() {
            evidence.requestBroken(REQUEST, SERVER, at(0));
            assertThat(evidence.serversListed(List.of(server("s1", 7001, 4_000))))
                    .containsExactly(Crash.of(REQUEST, SERVER), at(0));
        }

        @Test
        void aLaterServerAtTheSameAddressProvesTheEnd() {
            evidence.requestBroken(REQUEST, SERVER, at(0));
            assertThat(evidence.serversListed(List.of(server("s9", 7001, 4_000))))
                    .hasSize(1);
        }

        @Test
        void aServerThatIsMissingMayOnlyBeCutOffFromTheStore() {
            evidence.requestBroken(REQUEST, SERVER, at(0));
            assertThat(evidence.serversListed(List.of(server("s2", 7002, 4_000))))
                    .isEmpty();
            assertThat(evidence.unresolvedFailureDomains(REQUEST)).isEqualTo(1);
        }

        @Test
        void anEarlierServerThatIsStillListedAtTheAddressProvesNothing() {
            evidence.requestBroken(REQUEST, SERVER, at(0));
            assertThat(evidence.serversListed(List.of(server("s0", 7001, 500), SERVER)))
                    .isEmpty();
        }
    }
}
