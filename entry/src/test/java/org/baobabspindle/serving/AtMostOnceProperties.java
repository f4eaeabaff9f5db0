package org.baobabspindle.serving;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.baobabspindle.core.id.RequestKey;
import org.baobabspindle.core.request.Outcome;

class AtMostOnceProperties {
    enum Action {
        SEND,
        SEND_AGAIN,
        NEW_TICKET,
        LOG_DOWN,
        LOG_UP,
        RESTART,
        CATCH_UP,
        WAIT_A_SECOND,
        WAIT_AN_HOUR
    }

    record Step(Action action, int entry, int key) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Action> actions = Arbitraries.frequency(
                net.jqwik.api.Tuple.of(10, Action.SEND),
                net.jqwik.api.Tuple.of(10, Action.SEND_AGAIN),
                net.jqwik.api.Tuple.of(3, Action.NEW_TICKET),
                net.jqwik.api.Tuple.of(1, Action.LOG_DOWN),
                net.jqwik.api.Tuple.of(2, Action.LOG_UP),
                net.jqwik.api.Tuple.of(1, Action.RESTART),
                net.jqwik.api.Tuple.of(5, Action.CATCH_UP),
                net.jqwik.api.Tuple.of(4, Action.WAIT_A_SECOND),
                net.jqwik.api.Tuple.of(1, Action.WAIT_AN_HOUR));
        Arbitrary<Integer> entries = Arbitraries.integers().between(0, 2);
        Arbitrary<Integer> keys = Arbitraries.integers().between(0, 4);
        return Combinators.combine(actions, entries, keys)
                .as(Step::new)
                .list()
                .ofMinSize(10)
                .ofMaxSize(60);
    }

    @Property(tries = 2_000, seed = "20261206")
    void runsEachKeyAtMostOnceAndReportsNotRunOnlyForKeysThatNeverRan(
            @ForAll long seed, @ForAll("steps") List<Step> steps) {
        FakeCluster cluster = new FakeCluster(seed, 3, 4);
        List<RequestKey> keys = new ArrayList<>(List.of(RequestKey.of("plain"), cluster.keyWithTicket(0, "first")));
        for (Step s : steps) {
            switch (s.action()) {
                case SEND, SEND_AGAIN -> send(cluster, s.entry(), keys.get(s.key() % keys.size()));
                case NEW_TICKET -> keys.add(
                        s.key() == 0
                                ? RequestKey.of("plain" + keys.size())
                                : cluster.keyWithTicket(s.entry(), "k" + keys.size()));
                case LOG_DOWN -> cluster.setLogDown(true);
                case LOG_UP -> cluster.setLogDown(false);
                case RESTART -> cluster.restart(s.entry());
                case CATCH_UP -> cluster.replayLog(s.entry());
                case WAIT_A_SECOND -> cluster.advance(Duration.ofSeconds(1));
                case WAIT_AN_HOUR -> cluster.advance(Duration.ofMinutes(61));
            }
        }
    }

    private static void send(FakeCluster cluster, int entry, RequestKey key) {
        Outcome outcome;
        try {
            outcome = cluster.send(entry, key);
        } catch (IllegalStateException e) {
            outcome = new Outcome.Unknown("the connection of the caller failed");
        }
        assertWithMessage("runs of " + key).that(cluster.runs(key)).isAtMost(1);
        boolean reportedNotRun = outcome instanceof Outcome.NotRun || outcome instanceof Outcome.Refused;
        if (reportedNotRun) {
            assertWithMessage("runs of " + key + " after outcome " + outcome)
                    .that(cluster.runs(key))
                    .isEqualTo(0);
        }
    }
}
