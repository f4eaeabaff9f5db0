package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.baobabspindle.peer.PeerSecret;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RelayMarkTests {
    private static final PeerSecret SECRET = new PeerSecret("secret");

    private static HttpFields marked(String value) {
        return HttpFields.build().put(RelayMark.HEADER, value);
    }

    @Test
    void signedMarkIsRecognized() {
        String value = new RelayMark(2).format("r1", SECRET);
        assertThat(RelayMark.of(marked(value), "r1", SECRET)).hasValue(new RelayMark(2));
    }

    @Test
    void requestWithoutIdCanBeMarked() {
        String value = new RelayMark(1).format(null, SECRET);
        assertThat(RelayMark.of(marked(value), null, SECRET)).hasValue(new RelayMark(1));
    }

    @Test
    void markOfAnotherRequestIsIgnored() {
        String value = new RelayMark(2).format("r1", SECRET);
        assertThat(RelayMark.of(marked(value), "r2", SECRET)).isEmpty();
    }

    @Test
    void markForAnotherEntryIsIgnored() {
        String value = new RelayMark(2).format("r1", new PeerSecret("other"));
        assertThat(RelayMark.of(marked(value), "r1", SECRET)).isEmpty();
    }

    @Test
    void markWithChangedAttemptsIsIgnored() {
        String value = new RelayMark(2).format("r1", SECRET);
        assertThat(RelayMark.of(marked("9" + value.substring(1)), "r1", SECRET)).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", " ", "1", "1 ", "0 ff", "-1 ff", "99999999999 ff", "x y z"})
    void malformedMarkIsIgnored(String value) {
        assertThat(RelayMark.of(marked(value), "r1", SECRET)).isEmpty();
    }

    @Test
    void requestWithoutMarkHasNone() {
        assertThat(RelayMark.of(HttpFields.EMPTY, "r1", SECRET)).isEmpty();
    }

    @Test
    void unknownRefusalIsIgnored() {
        assertThat(RelayMark.refusal(HttpFields.build().put(RelayMark.REFUSAL_HEADER, "OTHER")))
                .isEmpty();
        assertThat(RelayMark.refusal(HttpFields.build().put(RelayMark.REFUSAL_HEADER, "STOPPING")))
                .hasValue(Refusal.STOPPING);
    }
}
