package org.baobabspindle.gateway;

/**
 * A retry that waits, see {@link RequestProgress#awaitsEvidence}.
 *
 * @param otherwise the refusal if no attempt may have run
 * @param budgeted whether the retry is taken out of the retry budget
 * @param reason why the call before it failed
 */
record PendingRetry(Refusal otherwise, boolean budgeted, String reason) {}
