package org.baobabspindle.peer;

/**
 * A message together with the id of the request that it belongs to.
 *
 * @param id the id of the request, unique on its connection; the reply carries the same id
 * @param answer whether this is a reply
 * @param message the message
 */
record PeerFrame(long id, boolean answer, PeerMessage message) {}
