/** Decisions on one caller request: its key, its attempts, its route, its limits and its outcome. */
package org.baobabspindle.core.request;
