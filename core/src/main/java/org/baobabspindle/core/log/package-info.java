/** Log records, and the state that every entry computes by replaying them in order. */
package org.baobabspindle.core.log;
