package org.baobabspindle.node;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class StopTests {
    @Test
    void stoppingEntryClaimsNoDomainAfterReleasingItsDomains() throws Exception {
        try (TestBed bed = new TestBed(1, 2, 500, 100_000)) {
            bed.awaitReady();
            TestBed.await(() -> !bed.adminView(0).path("keepers").isEmpty());
            bed.entries.get(0).stopGracefully();
            String records = bed.get("http://127.0.0.1:" + bed.log.port() + "/read?from=0", "")
                    .body();
            int released = records.indexOf("keepers-released");
            assertThat(released).isAtLeast(0);
            assertThat(records.substring(released)).doesNotContain("keeper-claimed");
        }
    }
}
