/** The serving of requests by an entry: admission, idempotency keys, routing, attempts and retries. */
package org.baobabspindle.serving;
