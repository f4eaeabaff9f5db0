/** Detection and quarantine of requests that crash the backend servers that run them. */
package org.baobabspindle.core.crash;
