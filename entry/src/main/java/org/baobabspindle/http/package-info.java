/** HTTP clients, JSON and hash utilities that several packages share. */
package org.baobabspindle.http;
