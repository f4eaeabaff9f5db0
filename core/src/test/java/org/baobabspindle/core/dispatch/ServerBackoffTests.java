package org.baobabspindle.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.junit.jupiter.api.Test;

/** Tests the backoff of a server that has rejected a request and asked for a delay. */
class ServerBackoffTests {
    private static final Moment START = new Moment(0, 0);
    private static final BackendServer.Lifetime SERVER = new BackendServer.Lifetime(InstanceId.of("b1"), 1);

    private final ServerBackoff backoff = new ServerBackoff();

    private static Moment at(long millis) {
        return START.plus(Duration.ofMillis(millis));
    }

    @Test
    void serverIsAvailableAgainWhenItsBackoffEnds() {
        assertThat(backoff.isAvailable(SERVER, START)).isTrue();
        backoff.backOff(SERVER, Duration.ofSeconds(2), START);
        assertThat(backoff.isAvailable(SERVER, at(1_999))).isFalse();
        assertThat(backoff.isAvailable(SERVER, at(2_000))).isTrue();
    }

    @Test
    void shorterDelayDoesNotShortenABackoff() {
        backoff.backOff(SERVER, Duration.ofSeconds(5), START);
        backoff.backOff(SERVER, Duration.ofSeconds(1), at(1_000));
        assertThat(backoff.isAvailable(SERVER, at(4_000))).isFalse();
    }

    @Test
    void restartedServerHasNoBackoff() {
        backoff.backOff(SERVER, Duration.ofSeconds(5), START);
        assertThat(backoff.isAvailable(new BackendServer.Lifetime(SERVER.id(), 2), at(100)))
                .isTrue();
    }

    @Test
    void longBackoffLastsToItsEnd() {
        backoff.backOff(SERVER, Duration.ofHours(5), START);
        assertThat(backoff.isAvailable(SERVER, START.plus(Duration.ofHours(5).minusMillis(1))))
                .isFalse();
        assertThat(backoff.isAvailable(SERVER, START.plus(Duration.ofHours(5)))).isTrue();
    }
}
