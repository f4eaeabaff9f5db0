package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.port.FeedPage;
import org.baobabspindle.port.FeedPosition;
import org.baobabspindle.port.FeedRecord;

/**
 * Buffers the most recent pages of a feed that an entry has read, so that other entries read them instead of the store.
 * The pages may themselves come from another entry; their age counts from the read of the store. A response contains the
 * newest record of each key only.
 */
final class RecentPages {
    /** The maximum number of records kept, which are the reports of a large fleet in a second or more. */
    private static final int MAX_RECORDS = 4_000;

    /** The maximum number of records in one response; the rest is left for the next one. */
    private static final int MAX_RECORDS_PER_RESPONSE = 400;

    /** The maximum number of pages kept; a reader reads several in a second, and others are behind by seconds at most. */
    private static final int MAX_PAGES = 100;

    /** The size from which a record is removed once there is a newer one of its key; many of them would fill the memory. */
    private static final int MIN_LONG_RECORD_BYTES = 4 * 1024;

    private final Duration maxAge;
    private final Deque<Segment> segments = new ArrayDeque<>();
    private int recordCount;
    private Optional<Moment> provenAt = Optional.empty();

    private record Segment(FeedPosition from, FeedPage page) {
        /** Returns the segment without long records of some keys. */
        Segment without(Set<String> keys) {
            List<FeedRecord> rest = new ArrayList<>(page.records());
            boolean changed = rest.removeIf(r -> isLong(r) && keys.contains(r.key()));
            return changed ? new Segment(from, new FeedPage(rest, page.next(), false)) : this;
        }

        /** Returns the records from a position on; all of them if they do not each have an offset of their own. */
        List<FeedRecord> after(FeedPosition position) {
            List<FeedRecord> all = page.records();
            boolean exact = page.next().offset() - from.offset() == all.size();
            long skipped = position.offset() - from.offset();
            return exact && skipped > 0 ? all.subList((int) Math.min(skipped, all.size()), all.size()) : all;
        }
    }

    /** Creates a buffer that serves nothing once the last read of the store is older than a maximum age. */
    RecentPages(Duration maxAge) {
        this.maxAge = maxAge;
    }

    /** Adds a page that was read from a position; a page that does not continue the last one replaces all pages. */
    synchronized void add(FeedPosition from, RelayedPage read) {
        FeedPage page = read.page();
        if (page.expired() || page.next().era() != from.era()) {
            clear();
            return;
        }
        if (!segments.isEmpty() && !segments.getLast().page().next().equals(from)) {
            clear();
        }
        if (read.provenAt().isPresent()
                && provenAt.filter(p -> !p.isBefore(read.provenAt().get())).isEmpty()) {
            provenAt = read.provenAt();
        }
        if (page.next().equals(from) && !segments.isEmpty()) {
            return;
        }
        removeSuperseded(page);
        segments.addLast(new Segment(from, page));
        recordCount += page.records().size();
        while ((recordCount > MAX_RECORDS && segments.size() > 1) || segments.size() > MAX_PAGES) {
            recordCount -= segments.removeFirst().page().records().size();
        }
    }

    private static boolean isLong(FeedRecord r) {
        return r.value().filter(v -> v.length >= MIN_LONG_RECORD_BYTES).isPresent();
    }

    /** Removes the long records whose keys have newer ones on a page. */
    private void removeSuperseded(FeedPage page) {
        Set<String> keys = page.records().stream()
                .filter(RecentPages::isLong)
                .map(FeedRecord::key)
                .collect(Collectors.toSet());
        if (keys.isEmpty()) {
            return;
        }
        List<Segment> kept = segments.stream().map(s -> s.without(keys)).toList();
        segments.clear();
        segments.addAll(kept);
        recordCount = kept.stream().mapToInt(s -> s.page().records().size()).sum();
    }

    private void clear() {
        segments.clear();
        recordCount = 0;
        provenAt = Optional.empty();
    }

    /**
     * Returns the records that follow a position. The page may begin a little before the position if the records of a
     * page do not each have an offset of their own; it still ends with the newest record of each key.
     *
     * @param from the position
     * @param now the current time
     * @return the page, which proves nothing if further records are left for the next response; empty if the position is
     *     older than the buffer or of another era, or if the last read of the store is too old
     */
    synchronized Optional<RelayedPage> after(FeedPosition from, Moment now) {
        boolean available =
                provenAt.filter(at -> now.since(at).compareTo(maxAge) <= 0).isPresent()
                        && !segments.isEmpty()
                        && from.era() == segments.getFirst().from().era()
                        && from.offset() >= segments.getFirst().from().offset();
        if (!available) {
            return Optional.empty();
        }
        Map<String, FeedRecord> result = new LinkedHashMap<>();
        FeedPosition next = from;
        for (Segment s : segments) {
            if (s.page().next().offset() <= from.offset()) {
                continue;
            }
            List<FeedRecord> records = s.after(from);
            if (!result.isEmpty() && result.size() + records.size() > MAX_RECORDS_PER_RESPONSE) {
                return Optional.of(new RelayedPage(page(result, next), Optional.empty()));
            }
            for (FeedRecord r : records) {
                result.remove(r.key());
                result.put(r.key(), r);
            }
            next = s.page().next();
        }
        return Optional.of(new RelayedPage(page(result, next), provenAt));
    }

    private static FeedPage page(Map<String, FeedRecord> records, FeedPosition next) {
        return new FeedPage(List.copyOf(records.values()), next, false);
    }
}
