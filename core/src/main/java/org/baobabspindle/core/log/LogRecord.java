package org.baobabspindle.core.log;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A state change that an entry proposes by appending it to the log; only replay decides whether it takes effect. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ConfigurationPatched.class, name = "configuration-patched"),
    @JsonSubTypes.Type(value = EntryJoined.class, name = "entry-joined"),
    @JsonSubTypes.Type(value = EntryRemoved.class, name = "entry-removed"),
    @JsonSubTypes.Type(value = EntryLeaving.class, name = "entry-leaving"),
    @JsonSubTypes.Type(value = KeepersReleased.class, name = "keepers-released"),
    @JsonSubTypes.Type(value = KeeperClaimed.class, name = "keeper-claimed"),
    @JsonSubTypes.Type(value = KeeperRenewed.class, name = "keeper-renewed"),
    @JsonSubTypes.Type(value = GroupFormed.class, name = "group-formed"),
    @JsonSubTypes.Type(value = GroupDissolved.class, name = "group-dissolved"),
    @JsonSubTypes.Type(value = RequestIntended.class, name = "request-intended"),
    @JsonSubTypes.Type(value = IntentsExpired.class, name = "intents-expired"),
    @JsonSubTypes.Type(value = CrashSuspected.class, name = "crash-suspected"),
    @JsonSubTypes.Type(value = SnapshotTaken.class, name = "snapshot-taken")
})
public sealed interface LogRecord
        permits ConfigurationPatched,
                EntryJoined,
                EntryRemoved,
                EntryLeaving,
                KeepersReleased,
                KeeperClaimed,
                KeeperRenewed,
                GroupFormed,
                GroupDissolved,
                RequestIntended,
                IntentsExpired,
                CrashSuspected,
                SnapshotTaken {
    /**
     * Checks this record against the state before it and, if it is accepted, applies it to the state.
     *
     * @param state the state after all earlier records
     * @param position the writer and the offset of this record
     * @return the verdict, the same at every entry
     */
    Verdict applyTo(ReplayedState state, RecordPosition position);
}
