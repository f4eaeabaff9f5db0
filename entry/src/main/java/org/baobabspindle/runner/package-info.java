/** HTTP clients of the model engines. */
package org.baobabspindle.runner;
