package org.baobabspindle.peer;

/**
 * The address at which an entry accepts connections of other entries.
 *
 * @param host the IP address
 * @param port the TCP port
 */
public record PeerAddress(String host, int port) {}
