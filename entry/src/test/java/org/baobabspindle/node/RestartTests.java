package org.baobabspindle.node;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RestartTests {
    private TestBed bed;

    @BeforeEach
    void startEntriesOnLogWithShortRetention() throws Exception {
        bed = new TestBed(2, 4, 500, 60);
        bed.awaitReady();
        assertThat(bed.configure(1).statusCode()).isEqualTo(200);
        TestBed.await(() -> bed.servingGroups(0) == 1);
    }

    @AfterEach
    void stop() throws Exception {
        bed.close();
    }

    @Test
    void restoresConfigurationFromSnapshotWhenRecordsHaveExpired() throws Exception {
        for (int version = 1; version < 80; version++) {
            String policy = version % 2 == 0 ? "LEAST_DOWNTIME" : "LEAST_STRANDED";
            assertThat(bed.patch(version % 2, version, "{\"placement\": \"" + policy + "\"}")
                            .statusCode())
                    .isEqualTo(200);
        }
        bed.startEntry("e2");
        TestBed.await(() -> bed.get(bed.url(2) + "/readyz", "").statusCode() == 200);
        String configuration =
                bed.get(bed.url(2) + "/admin/configuration", TestBed.OPERATOR).body();
        assertThat(configuration).contains("\"version\":80");
        TestBed.await(() -> bed.servingGroups(2) == 1);
        assertThat(bed.chat(2, "x", 2, false).statusCode()).isEqualTo(200);
    }

    @Test
    void isNotReadyUntilInstanceListCanBeRead() throws Exception {
        bed.post("http://127.0.0.1:" + bed.instances.port() + "/switch", "", "{\"down\": true}", java.util.Map.of());
        bed.startEntry("e2");
        TestBed.await(() -> bed.adminView(0).path("entries").size() == 3);
        assertThat(bed.get(bed.url(2) + "/readyz", "").body()).contains("instance list");
        bed.post("http://127.0.0.1:" + bed.instances.port() + "/switch", "", "{\"down\": false}", java.util.Map.of());
        TestBed.await(() -> bed.get(bed.url(2) + "/readyz", "").statusCode() == 200);
    }

    @Test
    void reportsUnknownForKeyOfTerminatedEntryAndDoesNotRunItAgain() throws Exception {
        String key = bed.keyPrefix(1) + "order";
        assertThat(bed.book(1, key, "order").statusCode()).isEqualTo(200);
        bed.entries.get(1).close();
        assertThat(bed.book(0, key, "order").body()).contains("\"run\":\"unknown\"");
        assertThat(bed.service.runCounts().get("order")).isEqualTo(1);
    }

    @Test
    void restartedEntryReplacesItsCrashedPredecessorAsMember() throws Exception {
        bed.entries.get(1).close();
        bed.startEntry("e1");
        TestBed.await(() -> bed.get(bed.url(2) + "/readyz", "").statusCode() == 200);
        TestBed.await(() -> bed.adminView(0).path("entries").toString().contains(bed.url(2)));
        assertThat(bed.adminView(0).path("entries").size()).isEqualTo(2);
    }
}
