/** Requests that crash the backend servers that run them: the evidence, and how long such requests are turned away. */
package org.baobabspindle.core.crash;
