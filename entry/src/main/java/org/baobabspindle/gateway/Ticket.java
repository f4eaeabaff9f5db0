package org.baobabspindle.gateway;

import java.util.Optional;
import java.util.Set;
import org.baobabspindle.core.dispatch.BatchModel;
import org.baobabspindle.core.dispatch.PromptRequest;
import org.baobabspindle.core.dispatch.RequestQueue;
import org.baobabspindle.core.dispatch.Target;
import org.baobabspindle.core.dispatch.TargetPool;

/**
 * A request that waits for a target. Tickets are compared by identity.
 *
 * @param pool the targets that can serve it
 * @param priority its priority; 0 is served first
 * @param waitLimits the times until which it is useful to wait
 * @param avoid the keys of targets that it has already been sent to
 * @param lastResort the keys of those among them that it left because they were silent, so that they may serve it if
 *     no other target does; once it has waited too long, even while they are excluded
 * @param prompt its prompt and targets, if it is placed by prompt tokens
 * @param listener receives the target
 * @param onExpired runs if the request has waited too long
 */
record Ticket(
        TargetPool pool,
        int priority,
        RequestQueue.WaitLimits waitLimits,
        Set<String> avoid,
        Set<String> lastResort,
        Optional<PromptRequest> prompt,
        TargetListener listener,
        Runnable onExpired) {
    /** Copies the sets of keys. */
    Ticket {
        avoid = Set.copyOf(avoid);
        lastResort = Set.copyOf(lastResort);
    }

    @Override
    public boolean equals(Object other) {
        return this == other;
    }

    @Override
    public int hashCode() {
        return System.identityHashCode(this);
    }

    /** Receives the target that is assigned to a request. */
    interface TargetListener {
        void targetAssigned(AssignedTarget target);
    }

    /**
     * A target that is assigned to a request.
     *
     * @param promptTokens the prompt tokens that are counted until the first event; 0 if the request is not placed by
     *     prompt tokens
     * @param predicted the predicted effect of the request, if it is placed by prompt tokens
     */
    record AssignedTarget(Target target, long promptTokens, Optional<BatchModel.Prediction> predicted) {}
}
