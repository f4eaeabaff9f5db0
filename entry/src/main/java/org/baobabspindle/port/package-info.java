/**
 * The interfaces between the gateway and a platform. An adapter implements them and contains no decisions of its own.
 */
package org.baobabspindle.port;
