package org.baobabspindle.serving;

import org.baobabspindle.core.request.Outcome;

/** What a request asks to be done, once it may run. */
interface RequestExecutor {
    /**
     * Runs the request, with as many attempts as are allowed.
     *
     * @param request the request
     * @param sink takes the answer
     * @return the outcome; the answer is whole only if it is completed
     */
    Outcome run(CallerRequest request, ResponseSink sink);
}
