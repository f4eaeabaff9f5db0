/** Value types that name instances, accounts, groups and requests. */
package org.baobabspindle.core.id;
