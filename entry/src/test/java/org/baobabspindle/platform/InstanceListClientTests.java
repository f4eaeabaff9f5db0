package org.baobabspindle.platform;

import static com.google.common.truth.Truth.assertThat;

import org.baobabspindle.standins.InstanceListStandin;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class InstanceListClientTests {
    private static final String ENGINE =
            "{\"kind\":\"engine\",\"id\":\"%s\",\"incarnation\":1,\"domain\":\"d1\",\"zone\":\"z1\",\"region\":\"r1\","
                    + "\"host\":\"127.0.0.1\",\"port\":8080}";

    private final HttpClient http = new HttpClient();
    private InstanceListStandin list;
    private String url;

    @BeforeEach
    void start() throws Exception {
        http.start();
        list = InstanceListStandin.start("127.0.0.1", 0, 0);
        url = "http://127.0.0.1:" + list.port();
    }

    @AfterEach
    void stop() throws Exception {
        http.stop();
        list.close();
    }

    private void register(String instance) throws Exception {
        http.POST(url + "/register")
                .body(new StringRequestContent("application/json", instance))
                .send();
    }

    @Test
    void readsInstancesBesideOnesThatCannotBeRead() throws Exception {
        register(String.format(ENGINE, "e1"));
        register("{\"kind\":\"engine\",\"id\":\"odd-1\"}");
        register("{\"kind\":\"engine\"}");
        register("{\"id\":\"odd-2\",\"zone\":7,\"incarnation\":-1}");
        register(String.format(ENGINE, "e&+#% 2"));
        InstanceList read = new InstanceListClient(http, url).poll().orElseThrow();
        assertThat(read.engines().stream().map(e -> e.id().instance().value()).toList())
                .containsExactly("e1", "e&+#% 2");
        assertThat(read.services()).isEmpty();
    }
}
