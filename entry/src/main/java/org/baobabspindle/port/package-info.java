/** What the gateway needs of a platform. An adapter implements these interfaces and decides nothing. */
package org.baobabspindle.port;
