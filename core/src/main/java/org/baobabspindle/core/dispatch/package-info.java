/** Where requests go: which target takes a request, how long it may wait, and when it is refused or tried again. */
package org.baobabspindle.core.dispatch;
