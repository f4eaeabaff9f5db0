/** How groups of engines are formed, opened, dissolved and formed anew. */
package org.baobabspindle.core.formation;
