/**
 * Dispatching of requests: the choice of a target, the queue for a free slot, and the limits on waiting and retries.
 */
package org.baobabspindle.core.dispatch;
