package org.baobabspindle.core.crash;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.id.RequestFingerprint;
import org.baobabspindle.core.time.Moment;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests requests that crash servers, and harmless requests that were running on the same servers. */
class RequestQuarantineTests {
    private static final SuspectRequest REQUEST = request("a");
    private static final CrashCause CAUSE = CrashCause.of(REQUEST.fingerprint());
    private static final long MINUTE = 60_000;

    private final RequestQuarantine quarantine = new RequestQuarantine();

    private static Moment at(long millis) {
        return new Moment(0, 0).plus(Duration.ofMillis(millis));
    }

    private static SuspectRequest request(String fingerprint) {
        return new SuspectRequest(RequestFingerprint.of(fingerprint), List.of());
    }

    private static Crash crash(CrashCause cause, int server) {
        return crash(cause, server, "d" + server);
    }

    private static Crash crash(CrashCause cause, int server, String domain) {
        return new Crash(cause, new BackendServer.Lifetime(InstanceId.of("s" + server), 1), domain);
    }

    private boolean recordCrash(int server, long millis) {
        return quarantine.recordCrash(crash(CAUSE, server), at(millis), at(millis));
    }

    private Optional<Duration> remaining(int unresolved, long millis) {
        return quarantine.quarantinedFor(REQUEST, c -> unresolved, c -> true, at(millis));
    }

    private static Optional<Duration> millis(long millis) {
        return Optional.of(Duration.ofMillis(millis));
    }

    @Nested
    class Quarantine {
        @Test
        void secondCrashQuarantinesARequestForThirtySeconds() {
            assertThat(recordCrash(1, 0)).isFalse();
            assertThat(remaining(0, 1)).isEqualTo(Optional.empty());
            assertThat(recordCrash(2, 5_000)).isTrue();
            assertThat(remaining(0, 5_000)).isEqualTo(millis(30_000));
            assertThat(remaining(0, 35_000)).isEqualTo(Optional.empty());
        }

        @Test
        void thirdCrashQuarantinesARequestForTenMinutes() {
            recordCrash(1, 0);
            recordCrash(2, 5_000);
            assertThat(recordCrash(3, 40_000)).isFalse();
            assertThat(remaining(0, 40_000)).isEqualTo(millis(10 * MINUTE));
            assertThat(remaining(0, 40_000 + 10 * MINUTE)).isEqualTo(Optional.empty());
        }

        /** A stream may be resumed at a server of the same domain that is about to crash for the same reason. */
        @Test
        void simultaneousCrashesInOneDomainCountOnce() {
            quarantine.recordCrash(crash(CAUSE, 1, "d1"), at(0), at(0));
            quarantine.recordCrash(crash(CAUSE, 2, "d1"), at(40), at(40));
            quarantine.recordCrash(crash(CAUSE, 3, "d1"), at(80), at(80));
            assertThat(remaining(0, 80)).isEqualTo(Optional.empty());
            quarantine.recordCrash(crash(CAUSE, 4, "d1"), at(200), at(200));
            assertThat(remaining(0, 200).isPresent()).isTrue();
        }

        @Test
        void successiveCrashesInOneDomainCountOnceForEachWindow() {
            for (int server = 1; server <= 4; server++) {
                quarantine.recordCrash(crash(CAUSE, server, "d1"), at(server * 60L), at(server * 60L));
            }
            assertThat(quarantine.crashCount(CAUSE, at(300))).isEqualTo(2);
        }

        /** A frequent request may be running on several servers that crash for another reason. */
        @Test
        void simultaneousCrashesDoNotCauseALongQuarantine() {
            for (int server = 1; server <= 5; server++) {
                recordCrash(server, server);
            }
            assertThat(remaining(0, 5)).isEqualTo(millis(30_000));
        }

        @Test
        void allowsOneTrialPerSecondAfterAShortQuarantine() {
            recordCrash(1, 0);
            recordCrash(2, 5_000);
            assertThat(remaining(0, 35_000)).isEqualTo(Optional.empty());
            quarantine.recordAttempt(REQUEST, at(35_000));
            assertThat(remaining(0, 35_100)).isEqualTo(millis(900));
            assertThat(remaining(0, 36_000)).isEqualTo(Optional.empty());
        }

        /** Callers retry at every entry when the quarantine ends. */
        @Test
        void onlyOneEntryRetriesAfterAShortQuarantine() {
            recordCrash(1, 0);
            recordCrash(2, 5_000);
            assertThat(quarantine.quarantinedFor(REQUEST, c -> 0, c -> true, at(35_000)))
                    .isEqualTo(Optional.empty());
            assertThat(quarantine.quarantinedFor(REQUEST, c -> 0, c -> false, at(35_000)))
                    .isEqualTo(millis(1_000));
            assertThat(quarantine.quarantinedFor(request("b"), c -> 0, c -> false, at(35_000)))
                    .isEqualTo(Optional.empty());
        }

        @Test
        void crashReportedSeveralTimesCountsOnce() {
            for (int i = 0; i < 5; i++) {
                recordCrash(1, i);
            }
            assertThat(quarantine.crashCount(CAUSE, at(5))).isEqualTo(1);
        }

        @Test
        void unresolvedFailureDomainsCountAsCrashes() {
            recordCrash(1, 0);
            assertThat(remaining(1, 1)).isEqualTo(millis(1_000));
            assertThat(quarantine.quarantinedFor(request("b"), c -> 2, c -> true, at(1)))
                    .isEqualTo(millis(1_000));
            assertThat(quarantine.quarantinedFor(request("b"), c -> 1, c -> true, at(1)))
                    .isEqualTo(Optional.empty());
        }

        @Test
        void wallClockJumpDoesNotEndTheQuarantine() {
            recordCrash(1, 0);
            recordCrash(2, 0);
            Moment jumped =
                    new Moment(at(10).monotonicNanos(), Duration.ofHours(1).toMillis());
            assertThat(quarantine
                            .quarantinedFor(REQUEST, c -> 0, c -> true, jumped)
                            .isPresent())
                    .isTrue();
        }
    }

    @Nested
    class HarmlessRequests {
        @Test
        void completeAnswerClearsEarlierCrashes() {
            recordCrash(1, 0);
            assertThat(quarantine.recordSuccess(CAUSE, at(2), at(2))).isTrue();
            assertThat(recordCrash(2, 3)).isFalse();
            assertThat(quarantine.crashCount(CAUSE, at(3))).isEqualTo(1);
        }

        @Test
        void ignoresACrashBeforeTheAnswerThatIsReportedLater() {
            recordCrash(1, 10);
            quarantine.recordSuccess(CAUSE, at(20), at(20));
            quarantine.recordCrash(crash(CAUSE, 2), at(15), at(30));
            assertThat(quarantine.crashCount(CAUSE, at(30))).isEqualTo(0);
        }

        @Test
        void answerToARequestWithoutCrashesChangesNothing() {
            assertThat(quarantine.recordSuccess(CAUSE, at(0), at(0))).isFalse();
            assertThat(quarantine.isEmpty()).isTrue();
        }

        /**
         * Three servers crash with twelve requests running each; one request runs on all of them, the others only on
         * one.
         */
        @Test
        void doesNotQuarantineRequestsThatRanOnTheSameServers() {
            for (int server = 1; server <= 3; server++) {
                recordCrash(server, server);
                for (int i = 0; i < 11; i++) {
                    SuspectRequest concurrent = request("s" + server + "r" + i);
                    quarantine.recordCrash(
                            crash(CrashCause.of(concurrent.fingerprint()), server), at(server), at(server));
                    assertThat(quarantine.quarantinedFor(concurrent, c -> 0, c -> true, at(server)))
                            .isEqualTo(Optional.empty());
                }
            }
            assertThat(quarantine.sharedCrashes(at(4)).keySet())
                    .containsExactly(crash(CAUSE, 1), crash(CAUSE, 2), crash(CAUSE, 3));
        }
    }

    @Nested
    class Exchange {
        private final RequestQuarantine other = new RequestQuarantine();

        @Test
        void digestIsEqualForTheSameQuarantinedCrashes() {
            assertThat(quarantine.digest(at(0))).isEqualTo(0);
            for (int server = 1; server <= 3; server++) {
                recordCrash(server, server);
            }
            for (int server = 3; server >= 1; server--) {
                other.recordCrash(crash(CAUSE, server), at(50), at(50));
            }
            assertThat(quarantine.digest(at(60))).isEqualTo(other.digest(at(60)));
            assertThat(quarantine.digest(at(60))).isNotEqualTo(0);
            recordCrash(4, 70);
            assertThat(quarantine.digest(at(70))).isNotEqualTo(other.digest(at(70)));
        }

        @Test
        void crashesCopiedFromAnotherEntryKeepTheirAge() {
            for (int server = 1; server <= 3; server++) {
                recordCrash(server, server);
            }
            quarantine.sharedCrashes(at(MINUTE)).forEach((c, crashedAt) -> other.recordCrash(c, crashedAt, at(MINUTE)));
            assertThat(other.digest(at(MINUTE))).isEqualTo(quarantine.digest(at(MINUTE)));
            assertThat(quarantine.quarantinedFor(REQUEST, c -> 0, c -> true, at(MINUTE)))
                    .isEqualTo(Optional.empty());
            assertThat(other.quarantinedFor(REQUEST, c -> 0, c -> true, at(MINUTE)))
                    .isEqualTo(Optional.empty());
        }
    }

    @Test
    void expiresOldCrashes() {
        recordCrash(1, 0);
        quarantine.expire(at(10 * MINUTE - 1));
        assertThat(quarantine.isEmpty()).isFalse();
        quarantine.expire(at(10 * MINUTE));
        assertThat(quarantine.isEmpty()).isTrue();
    }

    @Test
    void limitsTheNumberOfTrackedRequests() {
        for (int i = 0; i < 6_000; i++) {
            quarantine.recordCrash(crash(CrashCause.of(RequestFingerprint.of("r" + i)), i), at(i), at(i));
        }
        assertThat(quarantine.crashCount(CrashCause.of(RequestFingerprint.of("r0")), at(6_000)))
                .isEqualTo(0);
        assertThat(quarantine.crashCount(CrashCause.of(RequestFingerprint.of("r5999")), at(6_000)))
                .isEqualTo(1);
    }
}
