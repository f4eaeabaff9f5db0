package org.baobabspindle.core.request;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.baobabspindle.core.id.GroupId;
import org.junit.jupiter.api.Test;

class RouterTests {
    private final Router router = new Router(32);

    private static GroupCandidate candidate(long id, int load, int firstTokenMillis) {
        return new GroupCandidate(GroupId.of(id), false, load, 0, Duration.ofMillis(firstTokenMillis));
    }

    private GroupId choose(List<GroupCandidate> candidates, String prefix) {
        return router.choose(candidates, prefix).orElseThrow().group();
    }

    @Test
    void routesEqualPrefixesToTheSameGroupAtEqualLoad() {
        List<GroupCandidate> idle = List.of(candidate(1, 0, 0), candidate(2, 0, 0), candidate(3, 0, 0));
        assertThat(choose(idle, "quote")).isEqualTo(choose(idle, "quote"));
    }

    @Test
    void avoidsAnOverloadedGroupDespiteAffinity() {
        List<GroupCandidate> idle = List.of(candidate(1, 0, 0), candidate(2, 0, 0));
        GroupId first = choose(idle, "quote");
        List<GroupCandidate> busy = idle.stream()
                .map(c -> candidate(c.group().value(), c.group().equals(first) ? 20 : 0, 0))
                .toList();
        assertThat(choose(busy, "quote")).isNotEqualTo(first);
    }

    @Test
    void avoidsStragglers() {
        List<GroupCandidate> groups = List.of(candidate(1, 0, 100), candidate(2, 0, 100), candidate(3, 0, 900));
        for (int i = 0; i < 50; i++) {
            assertThat(choose(groups, "p" + i)).isNotEqualTo(GroupId.of(3));
        }
    }

    @Test
    void choosesNoGroupAtItsMaximumLoad() {
        assertThat(router.choose(List.of(candidate(1, 32, 0)), "p")).isEmpty();
    }

    @Test
    void countsOutstandingRequestsWhenTheReportLags() {
        GroupCandidate lagging = new GroupCandidate(GroupId.of(1), true, 9, 0, Duration.ZERO);
        assertThat(lagging.load()).isEqualTo(9);
    }

    @Test
    void keepsEveryLoadNearTheMean() {
        Random random = new Random(7);
        int[] loads = new int[8];
        for (int i = 0; i < 160; i++) {
            List<GroupCandidate> groups = new ArrayList<>();
            for (int g = 0; g < loads.length; g++) {
                groups.add(candidate(g, loads[g], 0));
            }
            loads[(int) choose(groups, "p" + random.nextInt(3)).value()]++;
        }
        for (int load : loads) {
            assertThat(load).isAtMost(27);
        }
    }

    @Test
    void tokenBucketReturnsTheWaitUntilTheNextToken() {
        Instant now = Instant.parse("2026-01-01T00:00:00Z");
        TokenBucket bucket = new TokenBucket(now, 1);
        assertThat(bucket.take(now, 2, 2)).isEqualTo(Duration.ZERO);
        Duration wait = bucket.take(now, 2, 2);
        assertThat(wait).isGreaterThan(Duration.ofMillis(400));
        assertThat(bucket.take(now.plus(wait), 2, 2)).isEqualTo(Duration.ZERO);
    }

    @Test
    void retriesOnlyWithinTheBudgetAndIfRepeatable() {
        RetryBudget budget = new RetryBudget(0.1, 1);
        assertThat(RetryDecision.of(Settlement.UNKNOWN, false, 1, budget)).isEqualTo(RetryDecision.GIVE_UP_UNKNOWN);
        assertThat(RetryDecision.of(Settlement.UNKNOWN, true, 2, budget)).isEqualTo(RetryDecision.GIVE_UP_UNKNOWN);
        assertThat(RetryDecision.of(Settlement.NOT_RUN, false, 1, budget)).isEqualTo(RetryDecision.RETRY);
        assertThat(RetryDecision.of(Settlement.NOT_RUN, false, 1, budget)).isEqualTo(RetryDecision.GIVE_UP_NOT_RUN);
    }

    private static CrashJudgement judge(
            boolean headAnswered, int membersAnswering, int otherEngines, int otherEnginesAnswering) {
        return CrashJudgement.of(
                new CrashJudgement.ProbeResults(headAnswered, membersAnswering, otherEngines, otherEnginesAnswering));
    }

    @Test
    void judgesADomainAsDarkOnlyIfAllItsOtherEnginesAreUnresponsive() {
        assertThat(judge(false, 0, 3, 0)).isEqualTo(CrashJudgement.DARK_DOMAIN);
        assertThat(judge(false, 0, 3, 1)).isEqualTo(CrashJudgement.SUSPECT);
        assertThat(judge(false, 0, 0, 0)).isEqualTo(CrashJudgement.SUSPECT);
        assertThat(judge(false, 2, 3, 0)).isEqualTo(CrashJudgement.SUSPECT);
    }

    @Test
    void suspectsNoRequestIfTheHeadStillAnswers() {
        assertThat(judge(true, 2, 3, 3)).isEqualTo(CrashJudgement.MEMBER_LOST);
    }
}
