package org.baobabspindle.platform;

import java.util.List;
import org.baobabspindle.core.id.LogOffset;

/**
 * A page of the log, the response of the log service to a read.
 *
 * @param from the requested offset, that of the first record of the page
 * @param firstRetained the first offset that the log still holds
 * @param head the offset after the last record of the log
 * @param records the records in order; empty if there are none or the requested offset has expired
 */
public record LogPage(LogOffset from, LogOffset firstRetained, LogOffset head, List<String> records) {
    /**
     * Returns whether the record at the requested offset has expired.
     *
     * @return whether the log no longer holds the requested offset
     */
    public boolean isExpired() {
        return from.compareTo(firstRetained) < 0;
    }
}
