package org.baobabspindle.core.log;

import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.LogOffset;

/**
 * Who wrote a record and where it stands in the log.
 *
 * @param writer the incarnation that wrote it
 * @param offset the offset of the record
 */
public record RecordPosition(Incarnation writer, LogOffset offset) {}
