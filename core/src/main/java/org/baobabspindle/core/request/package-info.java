/** The handling of a caller request: idempotency key, rate limit, routing, attempts and outcome. */
package org.baobabspindle.core.request;
