/** Planning of engine groups: forming, opening, dissolving and converting them, and staging weights on hosts. */
package org.baobabspindle.core.formation;
