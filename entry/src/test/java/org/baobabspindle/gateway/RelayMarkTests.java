package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.baobabspindle.peer.PeerSecret;
import org.eclipse.jetty.http.HttpFields;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RelayMarkTests {
    private static final PeerSecret SECRET = new PeerSecret("secret");
    private static final RelayMark MARK = new RelayMark(2, RelayMark.Stage.NEW, 7);

    private static HttpFields marked(String value) {
        return HttpFields.build().put(RelayMark.HEADER, value);
    }

    @Test
    void signedMarkIsRecognized() {
        for (RelayMark.Stage stage : RelayMark.Stage.values()) {
            RelayMark mark = new RelayMark(2, stage, 7);
            assertThat(RelayMark.of(marked(mark.format("r1", SECRET)), "r1", SECRET))
                    .hasValue(mark);
        }
    }

    @Test
    void requestWithoutIdCanBeMarked() {
        String value = MARK.format(null, SECRET);
        assertThat(RelayMark.of(marked(value), null, SECRET)).hasValue(MARK);
    }

    @Test
    void markOfAnotherRequestIsIgnored() {
        String value = MARK.format("r1", SECRET);
        assertThat(RelayMark.of(marked(value), "r2", SECRET)).isEmpty();
    }

    @Test
    void markForAnotherEntryIsIgnored() {
        String value = MARK.format("r1", new PeerSecret("other"));
        assertThat(RelayMark.of(marked(value), "r1", SECRET)).isEmpty();
    }

    @Test
    void markWithChangedAttemptsIsIgnored() {
        String value = MARK.format("r1", SECRET);
        assertThat(RelayMark.of(marked("9" + value.substring(1)), "r1", SECRET)).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", " ", "1", "1 ", "1 NEW", "1 NEW 7", "1 NEW ff", "1 NEW 7 ff", "x y z"})
    void malformedMarkIsIgnored(String value) {
        assertThat(RelayMark.of(marked(value), "r1", SECRET)).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", "1", "NEW", "1 NEW", "x NEW 7", "1 OTHER 7", "99999999999 NEW 7", "1 NEW x", "1 NEW 7 8"})
    void signedMarkOfAnotherReleaseIsIgnored(String text) {
        String value = text + ' ' + SECRET.sign("relay " + text + " r1");
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
