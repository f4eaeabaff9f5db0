/** The settings file of a process and its validation. */
package org.baobabspindle.settings;
