/** Experiments and measurements of the decisions, kept out of the path of an entry. */
package org.baobabspindle.lab;
