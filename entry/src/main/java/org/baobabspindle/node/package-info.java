/** The process of an entry: its shared tables, its loops and its start and stop. */
package org.baobabspindle.node;
