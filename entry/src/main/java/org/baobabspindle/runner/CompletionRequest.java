package org.baobabspindle.runner;

import java.time.Duration;
import org.baobabspindle.core.id.GroupId;

/**
 * A completion request to an engine.
 *
 * @param attempt the id of this attempt, which every event of the answer repeats
 * @param group the group that runs the completion
 * @param prompt the prompt
 * @param maxTokens the maximum number of tokens to generate
 * @param resumeFrom the number of tokens that the caller has already received
 * @param timeout the time left for the whole answer
 */
public record CompletionRequest(
        String attempt, GroupId group, String prompt, int maxTokens, int resumeFrom, Duration timeout) {}
