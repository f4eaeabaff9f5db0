package org.baobabspindle.core.log;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class TraceTests {
    private static List<String> readDemonstrationTrace() throws IOException {
        return Files.readAllLines(Path.of("src/test/resources/traces/demonstration.jsonl"));
    }

    @Test
    void replayOfDemonstrationYieldsRecordedVerdicts() throws IOException {
        List<String> lines = readDemonstrationTrace();
        assertThat(lines.size()).isAtLeast(30);
        assertThat(Trace.replay(lines)).isEmpty();
    }

    @Test
    void replayReportsDifferenceWhenARecordIsMissing() throws IOException {
        List<String> lines = new ArrayList<>(readDemonstrationTrace());
        lines.removeIf(line -> line.contains("configuration-patched") && line.contains("ACCEPTED"));
        assertThat(Trace.replay(lines)).isPresent();
    }
}
