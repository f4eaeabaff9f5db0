/** HTTP endpoints for operators: the configuration and the state of the cluster. */
package org.baobabspindle.operator;
