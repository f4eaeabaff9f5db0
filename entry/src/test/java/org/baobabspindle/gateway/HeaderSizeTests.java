package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;

/** Tests requests whose headers are longer than the default limits of an HTTP library. */
class HeaderSizeTests extends GatewayTestSupport {
    /** Leaves room for the other headers and the request line. */
    private static final String LONG_VALUE = "a".repeat(MAX_HEADER_BYTES - 1_024);

    @Test
    void requestWithHeadersUpToTheConfiguredLimitIsForwarded() throws Exception {
        start((request, out, socket) -> RawBackend.write(out, plain(request, "done")));
        HttpResponse<String> answer =
                http.send(request("/safe/x").header("Note", LONG_VALUE).build(), HttpResponse.BodyHandlers.ofString());
        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(RawBackend.header(backends.get(0).requests().get(0), "Note")).isEqualTo(LONG_VALUE);
    }
}
