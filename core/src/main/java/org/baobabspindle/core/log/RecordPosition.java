package org.baobabspindle.core.log;

import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.LogOffset;

/**
 * The writer of a record and its position in the log.
 *
 * @param writer the incarnation of the entry that wrote the record
 * @param offset the offset of the record
 */
public record RecordPosition(Incarnation writer, LogOffset offset) {}
