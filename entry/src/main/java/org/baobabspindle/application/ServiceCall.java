package org.baobabspindle.application;

import java.time.Duration;

/**
 * A call to a plain service.
 *
 * @param attempt the id of this attempt
 * @param method the HTTP method
 * @param path the path with the query, relative to the service
 * @param contentType the media type of the body
 * @param body the body
 * @param timeout the time left for the whole answer
 */
public record ServiceCall(
        String attempt, String method, String path, String contentType, String body, Duration timeout) {}
