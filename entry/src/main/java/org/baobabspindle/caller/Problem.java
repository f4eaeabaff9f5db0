package org.baobabspindle.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import org.baobabspindle.core.request.Outcome;
import org.baobabspindle.http.Json;

/**
 * A problem document (RFC 9457) that says whether the request ran.
 *
 * @param status the HTTP status
 * @param run {@code not-run}, {@code refused} or {@code unknown}
 * @param detail what happened
 * @param retryAfter when to come back; zero if not stated
 */
public record Problem(int status, String run, String detail, Duration retryAfter) {
    /** The media type of problem documents. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int BAD_GATEWAY = 502;
    private static final Duration UNKNOWN_RETRY = Duration.ofSeconds(5);

    /**
     * Returns the problem that an outcome is.
     *
     * @param outcome an outcome that is not completed
     * @return the problem
     */
    public static Problem of(Outcome outcome) {
        if (outcome instanceof Outcome.NotRun n) {
            return new Problem(SERVICE_UNAVAILABLE, "not-run", n.reason(), n.retryAfter());
        }
        if (outcome instanceof Outcome.Refused r) {
            return new Problem(r.kind().status(), "refused", r.reason(), r.retryAfter());
        }
        if (outcome instanceof Outcome.Unknown u) {
            return new Problem(BAD_GATEWAY, "unknown", u.reason(), UNKNOWN_RETRY);
        }
        throw new IllegalArgumentException("a completed request is no problem");
    }

    /**
     * Returns a problem that comes before any work, so that nothing ran.
     *
     * @param status the HTTP status
     * @param detail what is wrong with the request
     * @return the problem
     */
    public static Problem refused(int status, String detail) {
        return new Problem(status, "refused", detail, Duration.ZERO);
    }

    /**
     * Returns when to come back in whole seconds.
     *
     * @return the seconds, rounded up; 0 if not stated
     */
    public long retryAfterSeconds() {
        return (retryAfter.toMillis() + 999) / 1_000;
    }

    /**
     * Returns the document.
     *
     * @return the JSON form
     */
    public ObjectNode toJson() {
        ObjectNode d = Json.object();
        d.put("type", "urn:baobabspindle:problem:" + run);
        d.put("title", run);
        d.put("status", status);
        d.put("detail", detail);
        d.put("run", run);
        if (!retryAfter.isZero()) {
            d.put("retryAfterSeconds", retryAfterSeconds());
        }
        return d;
    }
}
