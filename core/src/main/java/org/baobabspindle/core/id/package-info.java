/** Value types that identify instances, client accounts, groups, models and requests. */
package org.baobabspindle.core.id;
