/** The HTTP interface for callers: authentication, endpoints, responses and problem documents. */
package org.baobabspindle.caller;
