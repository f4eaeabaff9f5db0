package org.baobabspindle.core.fleet;

import org.baobabspindle.core.id.Checks;

/**
 * How the prompts in a batch of an engine group slow down its steps, and the size of a usual request.
 *
 * @param chunkTokens the maximum number of prompt tokens that are read in one step
 * @param millisPerMillionPairs the additional time per million pairs of a prompt token and an earlier one
 * @param contextMillisPerThousand the additional duration of a step per 1,000 tokens of context
 * @param meanPromptTokens the mean number of prompt tokens, which judges requests without a valid token count
 * @param meanOutputTokens the mean number of generated tokens
 */
public record BatchParameters(
        int chunkTokens,
        double millisPerMillionPairs,
        double contextMillisPerThousand,
        int meanPromptTokens,
        int meanOutputTokens) {
    /** Validates the parameters. */
    public BatchParameters {
        Checks.require(chunkTokens >= 1, "chunk must be positive but was " + chunkTokens);
        Checks.require(millisPerMillionPairs >= 0, "pairs per million must not be negative");
        Checks.require(contextMillisPerThousand >= 0, "context per thousand must not be negative");
        Checks.require(meanPromptTokens >= 1, "mean prompt must be positive but was " + meanPromptTokens);
        Checks.require(meanOutputTokens >= 0, "mean output must not be negative but was " + meanOutputTokens);
    }
}
