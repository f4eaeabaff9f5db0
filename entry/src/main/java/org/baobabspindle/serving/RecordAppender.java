package org.baobabspindle.serving;

import java.util.concurrent.CompletableFuture;
import org.baobabspindle.core.log.LogRecord;
import org.baobabspindle.platform.LogAppender;

/** Appends records to the log. */
public interface RecordAppender {
    /**
     * Queues a record to be appended.
     *
     * @param record the record
     * @return a future that completes when this entry has replayed the record; it has no timeout
     */
    CompletableFuture<LogAppender.AppendResult> append(LogRecord record);

    /**
     * Asks the other entries to read the log without delay.
     *
     * @return a future that completes when the entries that answer have replayed as far as this entry
     */
    default CompletableFuture<Void> requestPeerReplay() {
        return CompletableFuture.completedFuture(null);
    }
}
