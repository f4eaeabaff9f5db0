package org.baobabspindle.serving;

import java.util.concurrent.CompletableFuture;
import org.baobabspindle.core.log.LogRecord;
import org.baobabspindle.platform.LogAppender;

/** Appends records to the log. */
public interface RecordAppender {
    /**
     * Queues a record.
     *
     * @param record the record
     * @return completes when this entry has replayed the record, however long that takes
     */
    CompletableFuture<LogAppender.AppendResult> append(LogRecord record);

    /**
     * Has the other entries read the log at once.
     *
     * @return completes when those that answer have replayed what this entry has replayed
     */
    default CompletableFuture<Void> requestPeerReplay() {
        return CompletableFuture.completedFuture(null);
    }
}
