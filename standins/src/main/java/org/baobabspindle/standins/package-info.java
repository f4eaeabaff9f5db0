/** Stand-ins for the platform, the model engines and the plain services, for tests and for the demonstration. */
package org.baobabspindle.standins;
