/** HTTP client of the plain services. */
package org.baobabspindle.application;
