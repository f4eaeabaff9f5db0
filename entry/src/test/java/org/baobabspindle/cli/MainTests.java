package org.baobabspindle.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MainTests {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @TempDir
    Path folder;

    private int run(String... args) {
        return Main.run(
                args,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    private Path writeFile(String text) throws IOException {
        return Files.writeString(folder.resolve("settings.json"), text);
    }

    private static String settings(String extra) {
        return """
                {
                  // a comment
                  "instance": "e1", "host": "127.0.0.1", "port": 8080, "peerPort": 9090, "zone": "z1", "region": "r1",
                  "logUrl": "http://127.0.0.1:1", "instanceListUrl": "http://127.0.0.1:2",
                  "peerSecret": "0123456789abcdef", "operatorTokenSha256": "%s" %s
                }
                """
                .formatted("0".repeat(64), extra);
    }

    @Test
    void acceptsValidSettingsWithComments() throws IOException {
        assertThat(run("check-settings", "--settings", writeFile(settings("")).toString()))
                .isEqualTo(0);
    }

    @Test
    void reportsOutOfRangeSettingWithValueRangeAndUnit() throws IOException {
        int status = run(
                "check-settings",
                "--settings",
                writeFile(settings(", \"freshnessMillis\": 9")).toString());
        assertThat(status).isEqualTo(1);
        assertThat(err.toString(StandardCharsets.UTF_8))
                .contains("freshnessMillis: 9 is not allowed; expected 500 to 7000 milliseconds");
    }

    @Test
    void namesUnknownAndMissingSettings() throws IOException {
        run("check-settings", "--settings", writeFile(settings(", \"prot\": 9")).toString());
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("prot: unknown field");
        run("check-settings", "--settings", writeFile("{\"instance\": \"e1\"}").toString());
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("host");
    }

    @Test
    void returnsStatus2ForInvalidCommandLine() {
        assertThat(run()).isEqualTo(2);
        assertThat(run("dance")).isEqualTo(2);
        assertThat(run("entry")).isEqualTo(2);
        assertThat(run("--help")).isEqualTo(0);
    }

    @Test
    void replayReportsFirstDifferingVerdict() throws IOException {
        Path trace = writeFile("{\"record\": \"rubbish\", \"verdict\": \"ACCEPTED\"}\n");
        assertThat(run("replay", trace.toString())).isEqualTo(1);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("offset 0: recorded ACCEPTED, now REFUSED");
    }
}
