package org.baobabspindle.gateway;

import java.util.Optional;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.port.FeedPage;

/**
 * A page of a feed that an entry has read from the store or from another entry.
 *
 * @param page the page
 * @param provenAt a moment on this entry's clocks at which the store had no records after the page, as it is not later
 *     than the request to the store; empty if the page is a part of what was available
 */
record RelayedPage(FeedPage page, Optional<Moment> provenAt) {}
