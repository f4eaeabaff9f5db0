/** Communication between entries: framed TCP connections with MessagePack bodies. */
package org.baobabspindle.peer;
