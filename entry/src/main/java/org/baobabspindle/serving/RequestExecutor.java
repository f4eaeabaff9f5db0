package org.baobabspindle.serving;

import org.baobabspindle.core.request.Outcome;

/** Runs requests of one kind after they have been admitted. */
interface RequestExecutor {
    /**
     * Runs a request, with as many attempts as the retry rules permit.
     *
     * @param request the request
     * @param sink receives the response
     * @return the outcome; the response is complete only if the outcome is {@link Outcome.Completed}
     */
    Outcome run(CallerRequest request, ResponseSink sink);
}
