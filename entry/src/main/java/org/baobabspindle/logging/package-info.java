/** Structured logging in JSON lines. */
package org.baobabspindle.logging;
