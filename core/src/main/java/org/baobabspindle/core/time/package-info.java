/** Time measurement that remains valid when the wall clock jumps or an instance is suspended. */
package org.baobabspindle.core.time;
