package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.Test;

/** Tests requests and responses whose headers are longer than the default limits of an HTTP library. */
class HeaderSizeTests extends GatewayTestSupport {
    /** Leaves room for the other headers and the request line. */
    private static final String LONG_VALUE = "a".repeat(MAX_HEADER_BYTES - 1_024);

    private static final String LONG_RESPONSE_VALUE = "b".repeat(GatewayServer.MAX_RESPONSE_HEADER_BYTES - 1_024);

    @Test
    void requestWithHeadersUpToTheConfiguredLimitIsForwarded() throws Exception {
        start((request, out, socket) -> RawBackend.write(out, plain(request, "done")));
        HttpResponse<String> answer =
                http.send(request("/safe/x").header("Note", LONG_VALUE).build(), HttpResponse.BodyHandlers.ofString());
        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(RawBackend.header(backends.get(0).requests().get(0), "Note")).isEqualTo(LONG_VALUE);
    }

    @Test
    void responseWithLongHeadersIsForwarded() throws Exception {
        start((request, out, socket) -> RawBackend.write(
                out, plain(request, "done").replace("Stamp: s", "Stamp: s\r\nNote: " + LONG_RESPONSE_VALUE)));
        HttpResponse<String> answer = post("/unsafe/x");
        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(answer.headers().firstValue("Note")).hasValue(LONG_RESPONSE_VALUE);
        assertThat(answer.body()).isEqualTo("done");
    }
}
