/** The command line and its commands. */
package org.baobabspindle.cli;
