package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.port.FeedPage;
import org.baobabspindle.port.FeedRecord;

/** The pages of a feed that an entry has read last, so that others can read on from them instead of from the store. */
final class RecentPages {
    /** The records kept; a second or more of a large fleet's reports. */
    private static final int MAX_RECORDS = 4_000;

    /** The records passed on in one answer; more wait for the next one. */
    private static final int MAX_RECORDS_PER_RESPONSE = 400;

    /** How old the last read of the store may be; an entry whose reads fail passes nothing on. */
    static final Duration MAX_AGE = Duration.ofMillis(1_600);

    private final Deque<Segment> segments = new ArrayDeque<>();
    private int recordCount;
    private Moment lastReadAt;

    private record Segment(long from, FeedPage page) {}

    /** Notes a page that was read from a position; pages that do not follow the last one replace all. */
    synchronized void add(long from, FeedPage page, Moment askedAt) {
        if (page.expired()) {
            clear();
            return;
        }
        lastReadAt = askedAt;
        if (!segments.isEmpty() && segments.getLast().page().next() != from) {
            clear();
        }
        if (page.next() == from && !segments.isEmpty()) {
            return;
        }
        segments.addLast(new Segment(from, page));
        recordCount += page.records().size();
        while (recordCount > MAX_RECORDS && segments.size() > 1) {
            recordCount -= segments.removeFirst().page().records().size();
        }
    }

    private void clear() {
        segments.clear();
        recordCount = 0;
    }

    /**
     * Returns what follows a position. The page may begin a little before it, since others read in other steps; it ends with
     * the newest record of each key all the same.
     *
     * @param from the position
     * @param now the present time
     * @return the page; empty if it is not known here, or if the last read is too old
     */
    synchronized Optional<FeedPage> after(long from, Moment now) {
        boolean known = lastReadAt != null
                && now.since(lastReadAt).compareTo(MAX_AGE) <= 0
                && !segments.isEmpty()
                && from >= segments.getFirst().from();
        if (!known) {
            return Optional.empty();
        }
        List<FeedRecord> found = new ArrayList<>();
        long next = from;
        for (Segment s : segments) {
            if (s.page().next() <= from) {
                continue;
            }
            if (!found.isEmpty() && found.size() + s.page().records().size() > MAX_RECORDS_PER_RESPONSE) {
                break;
            }
            found.addAll(s.page().records());
            next = s.page().next();
        }
        return Optional.of(new FeedPage(found, next, false));
    }
}
