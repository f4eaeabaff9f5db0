package org.baobabspindle.core.id;

import static com.google.common.truth.Truth.assertThat;

import java.util.Collections;
import org.junit.jupiter.api.Test;

/** Tests the list of the parts of a prompt. */
class PromptPartTests {
    @Test
    void lastPartIsNotShared() {
        assertThat(PromptPart.sharedParts("5c1e07a2:800,91bd3f06:410,e4402b7d:250"))
                .containsExactly(PromptPart.of("5c1e07a2"), PromptPart.of("91bd3f06"))
                .inOrder();
        assertThat(PromptPart.sharedParts("5c1e07a2:800")).isEmpty();
    }

    @Test
    void absentListHasNoParts() {
        assertThat(PromptPart.sharedParts(null)).isEmpty();
        assertThat(PromptPart.sharedParts("")).isEmpty();
    }

    @Test
    void leavesOutRepeatedAndMalformedParts() {
        assertThat(PromptPart.sharedParts("a:1, a:2,,:7,b,c:3"))
                .containsExactly(PromptPart.of("a"), PromptPart.of("b"));
    }

    @Test
    void limitsTheNumberOfParts() {
        assertThat(PromptPart.sharedParts(String.join(",", Collections.nCopies(1_000, "a:1"))))
                .hasSize(1);
        StringBuilder list = new StringBuilder();
        for (int i = 0; i < 1_000; i++) {
            list.append('p').append(i).append(":1,");
        }
        assertThat(PromptPart.sharedParts(list.toString())).hasSize(64);
    }
}
