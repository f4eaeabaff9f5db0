package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.baobabspindle.core.time.Moment;

/** The tightest targets of the requests that a pool has received lately, which further requests must not break. */
public final class StreamLimits {
    /** How long a target counts after the last request with it; several times the length of a stream. */
    private static final Duration LIFETIME = Duration.ofSeconds(10);

    private final Map<Tightest, Moment> seen = new HashMap<>();

    /** Creates limits without requests. */
    public StreamLimits() {}

    /**
     * The targets of a kind of request, or the tightest ones of several kinds.
     *
     * @param latency the time to the first event
     * @param gap the interval between two events
     */
    public record Tightest(Duration latency, Duration gap) {}

    /**
     * Records the targets of a request.
     *
     * @param request the request
     * @param now the present time
     */
    public void record(PromptRequest request, Moment now) {
        seen.put(new Tightest(request.targetLatency(), request.targetGap()), now);
    }

    /**
     * Returns the tightest targets.
     *
     * @param own the targets of the request to be placed
     * @param now the present time
     * @return the tightest targets, its own included
     */
    public Tightest tightest(PromptRequest own, Moment now) {
        seen.values().removeIf(at -> now.since(at).compareTo(LIFETIME) > 0);
        Duration latency = own.targetLatency();
        Duration gap = own.targetGap();
        for (Tightest t : seen.keySet()) {
            latency = t.latency().compareTo(latency) < 0 ? t.latency() : latency;
            gap = t.gap().compareTo(gap) < 0 ? t.gap() : gap;
        }
        return new Tightest(latency, gap);
    }
}
