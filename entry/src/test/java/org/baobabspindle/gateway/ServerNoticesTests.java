package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.junit.jupiter.api.Test;

class ServerNoticesTests {
    private static final BackendServer SERVER =
            TestEngines.engine("e1", Optional.empty(), Optional.empty(), Optional.empty());

    private final GatewayClock clock = new GatewayClock();
    private final Set<BackendServer.Lifetime> leaving = new HashSet<>();
    private final List<Duration> pauses = new ArrayList<>();
    private final ServerNotices notices = notices();

    private ServerNotices notices() {
        return new ServerNotices(clock, new EventLog(), new ServerNotices.Sink() {
            @Override
            public void leaves(Set<BackendServer.Lifetime> all) {
                leaving.addAll(all);
            }

            @Override
            public void pauses(BackendServer.Lifetime server, Duration time, Moment now) {
                pauses.add(time);
            }
        });
    }

    @Test
    void whatOneEntryHasSeenAnotherTakesOver() {
        ServerNotices other = notices();
        other.answered(SERVER, 200, true, null);
        leaving.clear();
        notices.told(other.recent(clock.now()));
        assertThat(leaving).containsExactly(SERVER.lifetime());
    }

    @Test
    void aLeavingServerIsToldToOthersForAWhileOnly() {
        notices.answered(SERVER, 200, true, null);
        assertThat(notices.recent(clock.now())).hasSize(1);
        assertThat(notices.recent(clock.now().plus(Duration.ofSeconds(11)))).isEmpty();
    }

    @Test
    void namesThatAreNoServersAreIgnored() {
        notices.told(List.of("", "/", "e1", "e1/x", "e1/2"));
        assertThat(leaving).containsExactly(new BackendServer.Lifetime(SERVER.id(), 2));
    }

    @Test
    void timesMayHaveFractionsAndMustBeSensible() {
        for (String time : List.of("1.5", "soon", "-1", "0", "9e99", "Fri, 04 Dec 2026 13:00:00 GMT")) {
            notices.answered(SERVER, 503, false, time);
        }
        assertThat(pauses).containsExactly(Duration.ofMillis(1_500));
    }
}
