package org.baobabspindle.core.crash;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.id.RequestFingerprint;
import org.baobabspindle.core.time.Moment;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Requests that end servers, and sound ones that were running beside them. */
class RequestQuarantineTests {
    private static final RequestFingerprint REQUEST = RequestFingerprint.of("a");
    private static final long MINUTE = 60_000;

    private final RequestQuarantine ledger = new RequestQuarantine();

    private static Moment at(long millis) {
        return new Moment(0, 0).plus(Duration.ofMillis(millis));
    }

    private static Crash crash(RequestFingerprint request, int server) {
        return crash(request, server, "d" + server);
    }

    private static Crash crash(RequestFingerprint request, int server, String domain) {
        return new Crash(request, new BackendServer.Lifetime(InstanceId.of("s" + server), 1), domain);
    }

    private boolean crashed(int server, long millis) {
        return ledger.recordCrash(crash(REQUEST, server), at(millis), at(millis));
    }

    private Optional<Duration> left(int unsettled, long millis) {
        return ledger.quarantinedFor(REQUEST, unsettled, () -> true, at(millis));
    }

    private static Optional<Duration> millis(long millis) {
        return Optional.of(Duration.ofMillis(millis));
    }

    @Nested
    class TurnedAway {
        @Test
        void aRequestIsTurnedAwayForAWhileAfterItsSecondCrash() {
            assertThat(crashed(1, 0)).isFalse();
            assertThat(left(0, 1)).isEqualTo(Optional.empty());
            assertThat(crashed(2, 5_000)).isTrue();
            assertThat(left(0, 5_000)).isEqualTo(millis(30_000));
            assertThat(left(0, 35_000)).isEqualTo(Optional.empty());
        }

        @Test
        void itIsTurnedAwayForLongAfterItsThird() {
            crashed(1, 0);
            crashed(2, 5_000);
            assertThat(crashed(3, 40_000)).isFalse();
            assertThat(left(0, 40_000)).isEqualTo(millis(10 * MINUTE));
            assertThat(left(0, 40_000 + 10 * MINUTE)).isEqualTo(Optional.empty());
        }

        /** A stream went on at a server of the domain that was just about to end. */
        @Test
        void serversOfOneDomainThatEndTogetherCountOnce() {
            ledger.recordCrash(crash(REQUEST, 1, "d1"), at(0), at(0));
            ledger.recordCrash(crash(REQUEST, 2, "d1"), at(40), at(40));
            ledger.recordCrash(crash(REQUEST, 3, "d1"), at(80), at(80));
            assertThat(left(0, 80)).isEqualTo(Optional.empty());
            ledger.recordCrash(crash(REQUEST, 4, "d1"), at(200), at(200));
            assertThat(left(0, 200).isPresent()).isTrue();
        }

        @Test
        void crashesInQuickSuccessionInOneDomainAreNotTakenForOne() {
            for (int server = 1; server <= 4; server++) {
                ledger.recordCrash(crash(REQUEST, server, "d1"), at(server * 60L), at(server * 60L));
            }
            assertThat(ledger.crashCount(REQUEST, at(300))).isEqualTo(2);
        }

        /** A hot request was running at several servers of different racks. */
        @Test
        void serversThatEndTogetherMakeNothingCertain() {
            for (int server = 1; server <= 5; server++) {
                crashed(server, server);
            }
            assertThat(left(0, 5)).isEqualTo(millis(30_000));
        }

        @Test
        void afterAWhileInDoubtItIsTriedOnceASecond() {
            crashed(1, 0);
            crashed(2, 5_000);
            assertThat(left(0, 35_000)).isEqualTo(Optional.empty());
            ledger.recordAttempt(REQUEST, at(35_000));
            assertThat(left(0, 35_100)).isEqualTo(millis(900));
            assertThat(left(0, 36_000)).isEqualTo(Optional.empty());
        }

        /** Callers come back at every entry once its time is over. */
        @Test
        void afterAWhileInDoubtOneEntryAloneTriesIt() {
            crashed(1, 0);
            crashed(2, 5_000);
            assertThat(ledger.quarantinedFor(REQUEST, 0, () -> true, at(35_000)))
                    .isEqualTo(Optional.empty());
            assertThat(ledger.quarantinedFor(REQUEST, 0, () -> false, at(35_000)))
                    .isEqualTo(millis(1_000));
            assertThat(ledger.quarantinedFor(RequestFingerprint.of("b"), 0, () -> false, at(35_000)))
                    .isEqualTo(Optional.empty());
        }

        @Test
        void aCrashThatSeveralEntriesReportCountsOnce() {
            for (int i = 0; i < 5; i++) {
                crashed(1, i);
            }
            assertThat(ledger.crashCount(REQUEST, at(5))).isEqualTo(1);
        }

        @Test
        void serversWhoseFateIsNotKnownYetCountForTheMoment() {
            crashed(1, 0);
            assertThat(left(1, 1)).isEqualTo(millis(1_000));
            assertThat(ledger.quarantinedFor(RequestFingerprint.of("b"), 2, () -> true, at(1)))
                    .isEqualTo(millis(1_000));
            assertThat(ledger.quarantinedFor(RequestFingerprint.of("b"), 1, () -> true, at(1)))
                    .isEqualTo(Optional.empty());
        }

        @Test
        void aWallClockThatJumpsAheadDoesNotEndIt() {
            crashed(1, 0);
            crashed(2, 0);
            Moment jumped =
                    new Moment(at(10).monotonicNanos(), Duration.ofHours(1).toMillis());
            assertThat(ledger.quarantinedFor(REQUEST, 0, () -> true, jumped).isPresent())
                    .isTrue();
        }
    }

    @Nested
    class SoundRequests {
        @Test
        void aWholeAnswerShowsThatEarlierCrashesWereNotItsDoing() {
            crashed(1, 0);
            assertThat(ledger.recordSuccess(REQUEST, at(2), at(2))).isTrue();
            assertThat(crashed(2, 3)).isFalse();
            assertThat(ledger.crashCount(REQUEST, at(3))).isEqualTo(1);
        }

        @Test
        void aCrashBeforeTheAnswerThatIsReportedLateDoesNotCount() {
            crashed(1, 10);
            ledger.recordSuccess(REQUEST, at(20), at(20));
            ledger.recordCrash(crash(REQUEST, 2), at(15), at(30));
            assertThat(ledger.crashCount(REQUEST, at(30))).isEqualTo(0);
        }

        @Test
        void anAnswerToARequestWithoutCrashesIsNoNews() {
            assertThat(ledger.recordSuccess(REQUEST, at(0), at(0))).isFalse();
            assertThat(ledger.isEmpty()).isTrue();
        }

        /** A server ends with twelve requests running; all but one of them go on elsewhere and are served. */
        @Test
        void requestsThatRanBesideItAreServed() {
            for (int server = 1; server <= 3; server++) {
                crashed(server, server);
                for (int i = 0; i < 11; i++) {
                    RequestFingerprint beside = RequestFingerprint.of("s" + server + "r" + i);
                    ledger.recordCrash(crash(beside, server), at(server), at(server));
                    assertThat(ledger.quarantinedFor(beside, 0, () -> true, at(server)))
                            .isEqualTo(Optional.empty());
                }
            }
            assertThat(ledger.quarantinedCrashes(at(4)).keySet())
                    .containsExactly(crash(REQUEST, 1), crash(REQUEST, 2), crash(REQUEST, 3));
        }
    }

    @Nested
    class Sharing {
        private final RequestQuarantine other = new RequestQuarantine();

        @Test
        void ledgersThatTurnTheSameAwayHaveTheSameDigest() {
            assertThat(ledger.digest(at(0))).isEqualTo(0);
            for (int server = 1; server <= 3; server++) {
                crashed(server, server);
            }
            for (int server = 3; server >= 1; server--) {
                other.recordCrash(crash(REQUEST, server), at(50), at(50));
            }
            assertThat(ledger.digest(at(60))).isEqualTo(other.digest(at(60)));
            assertThat(ledger.digest(at(60))).isNotEqualTo(0);
            crashed(4, 70);
            assertThat(ledger.digest(at(70))).isNotEqualTo(other.digest(at(70)));
        }

        @Test
        void whatIsTurnedAwayIsTakenOverWithItsAge() {
            for (int server = 1; server <= 3; server++) {
                crashed(server, server);
            }
            ledger.quarantinedCrashes(at(MINUTE)).forEach((c, noticed) -> other.recordCrash(c, noticed, at(MINUTE)));
            assertThat(other.digest(at(MINUTE))).isEqualTo(ledger.digest(at(MINUTE)));
            assertThat(ledger.quarantinedFor(REQUEST, 0, () -> true, at(MINUTE)))
                    .isEqualTo(Optional.empty());
            assertThat(other.quarantinedFor(REQUEST, 0, () -> true, at(MINUTE))).isEqualTo(Optional.empty());
        }
    }

    @Test
    void whatIsTooOldToCountIsForgotten() {
        crashed(1, 0);
        ledger.expire(at(10 * MINUTE - 1));
        assertThat(ledger.isEmpty()).isFalse();
        ledger.expire(at(10 * MINUTE));
        assertThat(ledger.isEmpty()).isTrue();
    }

    @Test
    void theMemoryIsBounded() {
        for (int i = 0; i < 6_000; i++) {
            ledger.recordCrash(crash(RequestFingerprint.of("r" + i), i), at(i), at(i));
        }
        assertThat(ledger.crashCount(RequestFingerprint.of("r0"), at(6_000))).isEqualTo(0);
        assertThat(ledger.crashCount(RequestFingerprint.of("r5999"), at(6_000))).isEqualTo(1);
    }
}
