package org.baobabspindle.platform;

import java.util.List;
import org.baobabspindle.core.id.LogOffset;

/**
 * An answer of the log service to a read.
 *
 * @param from the offset of the first record in this page
 * @param firstRetained the first offset that the log still keeps
 * @param head the offset after the last record of the log
 * @param records the records in order; empty if there are none or the offset asked for has expired
 */
public record LogPage(LogOffset from, LogOffset firstRetained, LogOffset head, List<String> records) {
    /**
     * Tells whether the offset asked for is no longer kept.
     *
     * @return whether the records asked for have expired
     */
    public boolean isExpired() {
        return from.compareTo(firstRetained) < 0;
    }
}
