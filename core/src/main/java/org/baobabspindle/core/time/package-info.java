/** Points in time that hold also while clocks jump or an instance is suspended. */
package org.baobabspindle.core.time;
