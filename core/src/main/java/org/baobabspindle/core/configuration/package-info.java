/** The configuration that operators publish, its checks and the merge patches that change it. */
package org.baobabspindle.core.configuration;
