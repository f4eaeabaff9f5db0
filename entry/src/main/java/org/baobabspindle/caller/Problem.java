package org.baobabspindle.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import org.baobabspindle.core.request.Outcome;
import org.baobabspindle.http.Json;

/**
 * A problem document (RFC 9457) that states whether the request was run.
 *
 * @param status the HTTP status code
 * @param run {@code not-run}, {@code refused} or {@code unknown}
 * @param detail a description of the problem
 * @param retryAfter the delay before the caller may retry; zero if not stated
 */
public record Problem(int status, String run, String detail, Duration retryAfter) {
    /** The media type of problem documents. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int BAD_GATEWAY = 502;
    private static final Duration UNKNOWN_RETRY_AFTER = Duration.ofSeconds(5);

    /**
     * Returns the problem document of an outcome.
     *
     * @param outcome an outcome other than {@link Outcome.Completed}
     * @return the problem
     */
    public static Problem of(Outcome outcome) {
        if (outcome instanceof Outcome.NotRun notRun) {
            return new Problem(SERVICE_UNAVAILABLE, "not-run", notRun.reason(), notRun.retryAfter());
        }
        if (outcome instanceof Outcome.Refused refused) {
            return new Problem(refused.kind().status(), "refused", refused.reason(), refused.retryAfter());
        }
        if (outcome instanceof Outcome.Unknown unknown) {
            return new Problem(BAD_GATEWAY, "unknown", unknown.reason(), UNKNOWN_RETRY_AFTER);
        }
        throw new IllegalArgumentException("a completed request has no problem document");
    }

    /**
     * Returns the problem of a request that was rejected before any work was done.
     *
     * @param status the HTTP status code
     * @param detail the reason of the rejection
     * @return the problem
     */
    public static Problem refused(int status, String detail) {
        return new Problem(status, "refused", detail, Duration.ZERO);
    }

    /**
     * Returns the retry delay in seconds, rounded up.
     *
     * @return the seconds; 0 if not stated
     */
    public long retryAfterSeconds() {
        return (retryAfter.toMillis() + 999) / 1_000;
    }

    /**
     * Returns the JSON form of this problem.
     *
     * @return the document
     */
    public ObjectNode toJson() {
        ObjectNode document = Json.object();
        document.put("type", "urn:baobabspindle:problem:" + run);
        document.put("title", run);
        document.put("status", status);
        document.put("detail", detail);
        document.put("run", run);
        if (!retryAfter.isZero()) {
            document.put("retryAfterSeconds", retryAfterSeconds());
        }
        return document;
    }
}
