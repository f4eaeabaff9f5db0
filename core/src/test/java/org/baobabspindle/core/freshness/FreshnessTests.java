package org.baobabspindle.core.freshness;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.ConfigurationVersion;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.id.Region;
import org.baobabspindle.core.log.EntryDescription;
import org.baobabspindle.core.log.EntryJoined;
import org.baobabspindle.core.log.LogCodec;
import org.baobabspindle.core.log.LogEnvelope;
import org.baobabspindle.core.log.ReplayedState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FreshnessTests {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final Region REGION = Region.of("r1");
    private static final Duration BOUND = Duration.ofSeconds(4);
    private static final Incarnation A = Incarnation.of("a", 1);
    private static final Incarnation B = Incarnation.of("b", 1);
    private static final Incarnation C = Incarnation.of("c", 1);

    private final ReplayedState state = new ReplayedState();
    private final Freshness freshness = new Freshness(A, REGION, BOUND);

    @BeforeEach
    void joinThreeEntries() {
        join(A, 0, Set.of());
        join(B, 1, Set.of(A));
        join(C, 2, Set.of(A, B));
    }

    private void join(Incarnation id, long base, Set<Incarnation> evidence) {
        EntryDescription entry = new EntryDescription(
                id, AvailabilityZone.of("z1"), REGION, "http://127.0.0.1:1", "127.0.0.1", 1, false);
        LogEnvelope envelope = new LogEnvelope(id, 1, new EntryJoined(entry, base, evidence));
        assertThat(state.apply(state.nextOffset(), LogCodec.write(envelope)).isAccepted())
                .isTrue();
    }

    private static VersionVector vector(long configuration) {
        return new VersionVector(ConfigurationVersion.of(configuration), 3);
    }

    @Nested
    class LogReadable {
        @Test
        void entryAtTheEndOfTheLogIsFreshUntilTheBound() {
            freshness.logHeadRead(NOW, LogOffset.of(3));
            assertThat(freshness.check(NOW.plus(BOUND), state)).isEqualTo(FreshnessOutcome.FRESH_BY_LOG);
            assertThat(freshness.check(NOW.plus(BOUND).plusMillis(1), state)).isEqualTo(FreshnessOutcome.UNHEARD);
        }

        @Test
        void entryBehindTheEndOfTheLogIsNotFresh() {
            freshness.logHeadRead(NOW, LogOffset.of(4));
            assertThat(freshness.check(NOW, state)).isEqualTo(FreshnessOutcome.UNHEARD);
        }
    }

    @Nested
    class LogUnavailable {
        @Test
        void answerOfOneOfTwoOtherEntriesIsEnough() {
            freshness.peerAnswered(B, NOW, vector(0));
            assertThat(freshness.check(NOW, state)).isEqualTo(FreshnessOutcome.FRESH_BY_PEERS);
        }

        @Test
        void answerExpiresAtTheBoundAfterItsRequest() {
            freshness.peerAnswered(B, NOW, vector(0));
            assertThat(freshness.check(NOW.plus(BOUND).plusMillis(1), state)).isEqualTo(FreshnessOutcome.UNHEARD);
        }

        @Test
        void entryIsBehindIfAnotherHasANewerVersion() {
            freshness.peerAnswered(B, NOW, vector(0));
            freshness.peerAnswered(C, NOW, vector(1));
            assertThat(freshness.check(NOW, state)).isEqualTo(FreshnessOutcome.BEHIND);
        }

        @Test
        void answerOfAnEntryOutsideTheMembershipDoesNotCount() {
            freshness.peerAnswered(Incarnation.of("b", 2), NOW, vector(0));
            assertThat(freshness.check(NOW, state)).isEqualTo(FreshnessOutcome.UNHEARD);
        }

        @Test
        void entryWithoutAnyAnswerIsNotFresh() {
            assertThat(freshness.check(NOW, state)).isEqualTo(FreshnessOutcome.UNHEARD);
        }
    }

    @Test
    void versionIsAcceptedOnceAMajorityOfEveryRegionHasReplayedIt() {
        Acceptance acceptance = new Acceptance(ConfigurationVersion.of(2));
        acceptance.recordReplayed(A, ConfigurationVersion.of(2));
        acceptance.recordReplayed(B, ConfigurationVersion.of(1));
        assertThat(acceptance.regionsWithoutMajority(state.membership())).containsExactly(REGION);
        acceptance.recordReplayed(C, ConfigurationVersion.of(3));
        assertThat(acceptance.regionsWithoutMajority(state.membership())).isEmpty();
    }
}
