/** Experiments and measurements of the decision code; an entry does not contain them. */
package org.baobabspindle.lab;
