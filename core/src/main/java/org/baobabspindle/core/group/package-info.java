/** Decisions of the keeper of a fabric domain: which groups to form, repair, drain and dissolve. */
package org.baobabspindle.core.group;
