package org.baobabspindle.core.log;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.ConfigurationVersion;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.id.ModelVersion;
import org.baobabspindle.core.id.Region;
import org.baobabspindle.core.id.RequestKey;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReplayedStateTests {
    private static final Incarnation A = Incarnation.of("a", 1);
    private static final Incarnation B = Incarnation.of("b", 1);
    private static final Region REGION = Region.of("r1");
    private static final FabricDomain DOMAIN = FabricDomain.of("d1");
    private static final ModelVersion MODEL = ModelVersion.parse("m@1");

    private final ReplayedState state = new ReplayedState();
    private long sequence;

    private Verdict write(Incarnation writer, LogRecord record) {
        sequence++;
        return state.apply(state.nextOffset(), LogCodec.write(new LogEnvelope(writer, sequence, record)));
    }

    private static JsonNode json(String text) {
        try {
            return new ObjectMapper().readTree(text);
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
    }

    private Verdict patch(long base, String text) {
        return write(A, new ConfigurationPatched(ConfigurationVersion.of(base), json(text)));
    }

    private static EntryDescription entry(Incarnation id) {
        return new EntryDescription(id, AvailabilityZone.of("z1"), REGION, "http://127.0.0.1:1", "127.0.0.1", 1, false);
    }

    private LogOffset claim(Incarnation writer, long previous) {
        LogOffset offset = state.nextOffset();
        assertThat(write(writer, new KeeperClaimed(DOMAIN, LogOffset.of(previous)))
                        .isAccepted())
                .isTrue();
        return offset;
    }

    private static GroupFormed group(LogOffset epoch, String... members) {
        List<Incarnation> ids =
                List.of(members).stream().map(m -> Incarnation.of(m, 1)).toList();
        return new GroupFormed(DOMAIN, epoch, MODEL, ids);
    }

    @Nested
    class ConfigurationPatches {
        @Test
        void acceptsPatchAgainstCurrentVersion() {
            assertThat(patch(0, "{\"models\": {\"m@1\": {\"instancesPerGroup\": 2, \"groups\": 1}}}")
                            .isAccepted())
                    .isTrue();
            assertThat(state.configurationState().version()).isEqualTo(ConfigurationVersion.of(1));
        }

        @Test
        void refusesPatchAgainstOlderVersionWithoutMerging() {
            patch(0, "{\"placement\": \"LEAST_STRANDED\"}");
            Verdict verdict = patch(0, "{\"placement\": \"LEAST_DOWNTIME\"}");
            assertThat(verdict.reason()).contains("stale");
            assertThat(state.configurationState().version()).isEqualTo(ConfigurationVersion.of(1));
        }

        @Test
        void refusesInvalidConfigurationAndNamesTheField() {
            assertThat(patch(0, "{\"models\": {\"m@1\": {\"groups\": -1}}}").reason())
                    .contains("instancesPerGroup");
            assertThat(patch(0, "{\"modles\": {}}").reason()).contains("modles");
            assertThat(patch(
                                    0,
                                    "{\"accounts\": {\"x\": {\"keySha256\": \"" + "0".repeat(64)
                                            + "\", \"models\": [\"n@1\"], \"requestsPerSecond\": 1}}}")
                            .reason())
                    .contains("unknown model");
            assertThat(patch(0, "[]").isAccepted()).isFalse();
        }

        @Test
        void removesFieldsThatThePatchSetsToNull() {
            patch(0, "{\"models\": {\"m@1\": {\"instancesPerGroup\": 2, \"groups\": 1}}}");
            patch(1, "{\"models\": {\"m@1\": null}}");
            assertThat(state.configuration().models()).isEmpty();
        }
    }

    @Nested
    class GroupRecords {
        private LogOffset epoch;

        private void configureGroups(int count) {
            patch(0, "{\"models\": {\"m@1\": {\"instancesPerGroup\": 2, \"groups\": " + count + "}}}");
            epoch = claim(A, 0);
        }

        @Test
        void acceptsGroupOfFreeInstancesFromKeeper() {
            configureGroups(2);
            assertThat(write(A, group(epoch, "x1", "x2")).isAccepted()).isTrue();
        }

        @Test
        void refusesGroupWhenAMemberIsInAnotherGroupOrListedTwice() {
            configureGroups(2);
            write(A, group(epoch, "x1", "x2"));
            assertThat(write(A, group(epoch, "x2", "x3")).isAccepted()).isFalse();
            assertThat(write(A, group(epoch, "x4", "x4")).isAccepted()).isFalse();
        }

        @Test
        void refusesGroupUnderReplacedEpoch() {
            configureGroups(2);
            claim(B, epoch.value());
            assertThat(write(A, group(epoch, "x1", "x2")).isAccepted()).isFalse();
        }

        @Test
        void refusesGroupUnderEarlierEpochOfSameHolder() {
            configureGroups(2);
            LogOffset second = claim(B, epoch.value());
            claim(A, second.value());
            assertThat(write(A, group(epoch, "x1", "x2")).isAccepted()).isFalse();
        }

        @Test
        void refusesGroupFromEntryThatHoldsNoClaim() {
            configureGroups(2);
            assertThat(write(B, group(epoch, "x1", "x2")).isAccepted()).isFalse();
        }

        @Test
        void refusesGroupBeyondConfiguredCountOrOfOtherSize() {
            configureGroups(1);
            assertThat(write(A, group(epoch, "x1")).isAccepted()).isFalse();
            write(A, group(epoch, "x1", "x2"));
            assertThat(write(A, group(epoch, "x3", "x4")).isAccepted()).isFalse();
        }

        @Test
        void freesMembersWhenGroupIsDissolved() {
            configureGroups(2);
            write(A, group(epoch, "x1", "x2"));
            GroupId id = state.groupState().groupOf(InstanceId.of("x1")).orElseThrow();
            write(A, new GroupDissolved(id, epoch, "test"));
            assertThat(state.groupState().groupOf(InstanceId.of("x1"))).isEmpty();
            assertThat(write(A, group(epoch, "x1", "x3")).isAccepted()).isTrue();
        }
    }

    @Nested
    class RepeatedAppends {
        @Test
        void appliesRecordOnceWhenItIsInTheLogTwice() {
            LogOffset epoch = claim(A, 0);
            String released = LogCodec.write(new LogEnvelope(A, 10, new KeepersReleased()));
            state.apply(state.nextOffset(), released);
            sequence = 10;
            LogOffset again = claim(A, 0);
            assertThat(state.apply(state.nextOffset(), released)).isEqualTo(Verdict.DUPLICATE);
            assertThat(state.groupState().claim(DOMAIN).orElseThrow().epoch()).isEqualTo(again);
            assertThat(again).isGreaterThan(epoch);
        }

        @Test
        void dropsRecordThatArrivesAfterALaterOneOfItsWriter() {
            String early = LogCodec.write(new LogEnvelope(A, 1, new KeeperClaimed(DOMAIN, LogOffset.of(0))));
            state.apply(state.nextOffset(), LogCodec.write(new LogEnvelope(A, 2, new KeeperRenewed())));
            assertThat(state.apply(state.nextOffset(), early)).isEqualTo(Verdict.DUPLICATE);
        }
    }

    @Nested
    class RegionMembership {
        private Verdict join(Incarnation id, long base, Incarnation... evidence) {
            return write(id, new EntryJoined(entry(id), base, Set.of(evidence)));
        }

        @Test
        void acceptsChangeOnlyAfterAMajorityReplayedThePreviousOne() {
            Incarnation c = Incarnation.of("c", 1);
            assertThat(join(A, 0).isAccepted()).isTrue();
            assertThat(join(B, 1).isAccepted()).isFalse();
            assertThat(join(B, 1, A).isAccepted()).isTrue();
            assertThat(join(c, 2, A).isAccepted()).isFalse();
            assertThat(join(c, 2, A, B).isAccepted()).isTrue();
        }

        @Test
        void refusesChangeAgainstOlderMembershipVersion() {
            join(A, 0);
            assertThat(join(B, 0, A).isAccepted()).isFalse();
        }

        @Test
        void refusesSecondIncarnationOfAnInstance() {
            join(A, 0);
            assertThat(join(Incarnation.of("a", 2), 1, A).isAccepted()).isFalse();
        }

        @Test
        void acceptsForcedRemovalWithoutEvidence() {
            join(A, 0);
            assertThat(write(B, new EntryRemoved(REGION, A, 9, Set.of(), true)).isAccepted())
                    .isTrue();
        }
    }

    @Nested
    class RequestIntents {
        private final ClientAccountId account = ClientAccountId.of("dealers");
        private final RequestKey key = RequestKey.of("k");

        @Test
        void acceptsOnlyTheFirstIntentForAKey() {
            assertThat(write(A, new RequestIntended(account, key)).isAccepted()).isTrue();
            assertThat(write(B, new RequestIntended(account, key)).isAccepted()).isFalse();
            assertThat(state.intents().winner(account, key)).hasValue(A);
        }

        @Test
        void removesIntentWhenItExpires() {
            LogOffset offset = state.nextOffset();
            write(A, new RequestIntended(account, key));
            write(A, new IntentsExpired(offset));
            assertThat(state.intents().winner(account, key)).isEmpty();
        }
    }

    @Test
    void restoredSnapshotReplaysLikeTheOriginalState() throws IOException {
        patch(0, "{\"models\": {\"m@1\": {\"instancesPerGroup\": 2, \"groups\": 3}}}");
        LogOffset epoch = claim(A, 0);
        write(A, group(epoch, "x1", "x2"));
        write(A, new EntryJoined(entry(A), 0, Set.of()));
        write(A, new RequestIntended(ClientAccountId.of("dealers"), RequestKey.of("k")));
        write(A, new CrashSuspected("f", GroupId.of(2)));
        ReplayedState restored = ReplayedState.restore(state.snapshot());
        assertThat(restored.snapshot()).isEqualTo(state.snapshot());
        String line = LogCodec.write(new LogEnvelope(A, 99, group(epoch, "x3", "x4")));
        state.apply(state.nextOffset(), line);
        restored.apply(restored.nextOffset(), line);
        assertThat(restored.snapshot()).isEqualTo(state.snapshot());
    }

    @Test
    void ignoresUnreadableRecords() {
        for (String line : List.of("", "{", "null", "[]", "{\"writer\":\"a~1\",\"sequence\":0}", "{\"kind\":1}")) {
            assertThat(state.apply(state.nextOffset(), line).isAccepted()).isFalse();
        }
        assertThat(state.nextOffset()).isEqualTo(LogOffset.of(6));
    }
}
