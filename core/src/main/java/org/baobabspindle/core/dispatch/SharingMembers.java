package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;

/**
 * The entries that may send requests to cold servers, as this entry knows them. The entries need not agree on the set: if
 * the set of each one includes all entries that may send, then no more than {@code n} of them rank themselves among the
 * first {@code n}. Three rules ensure this, also while entries cannot reach each other:
 *
 * <ul>
 *   <li>An entry sends nothing until it has read its own announcement, and so all earlier ones, and until each entry
 *       that was announced before either has answered it, and so knows it, or has not read the announcements for as long
 *       as {@link #FRESHNESS} since.
 *   <li>An entry that has not read the announcements for {@link #FRESHNESS} sends nothing.
 *   <li>An entry whose announcement was removed is included for {@link #FRESHNESS}; an unresponsive one always is.
 * </ul>
 */
final class SharingMembers {
    /**
     * How long a read of the announcements counts. A read waits up to 15 s at the store, and counts from its start until
     * the next one has ended; 4 s are a margin for slow reads.
     */
    static final Duration FRESHNESS = Duration.ofSeconds(34);

    private final InstanceId self;
    private final Set<InstanceId> listed = new HashSet<>();
    private final Map<InstanceId, Moment> removedAt = new HashMap<>();

    /** The entries announced before this one that are not known to know this one. */
    private final Set<InstanceId> awaited = new HashSet<>();

    private Optional<Moment> ownReadAt = Optional.empty();
    private Optional<Moment> readAt = Optional.empty();
    private Optional<RateSharing> sharing = Optional.empty();

    SharingMembers(InstanceId self) {
        this.self = self;
    }

    /**
     * Applies a read of the announcements of entries.
     *
     * @param changes the announcements that were read
     * @param requestedAt when the read was requested
     * @param now the present time
     */
    void announcementsRead(EntryChanges changes, Moment requestedAt, Moment now) {
        Set<InstanceId> gone = new HashSet<>(changes.removed());
        if (changes.snapshot()) {
            gone.addAll(listed);
            gone.removeAll(changes.announced());
        }
        gone.remove(self);
        gone.retainAll(listed);
        listed.removeAll(gone);
        gone.forEach(id -> removedAt.put(id, now));
        changes.announced().stream().filter(id -> !id.equals(self)).forEach(this::add);
        if (changes.ownAnnounced() && ownReadAt.isEmpty()) {
            ownReadAt = Optional.of(now);
            awaited.clear();
            awaited.addAll(listed);
            awaited.addAll(removedAt.keySet());
        } else if (!changes.ownAnnounced()
                && (changes.snapshot() || changes.removed().contains(self))) {
            ownReadAt = Optional.empty();
        }
        readAt = Optional.of(requestedAt);
        sharing = Optional.empty();
    }

    private void add(InstanceId id) {
        listed.add(id);
        removedAt.remove(id);
    }

    /** Records that another entry has sent a message, whose announcement may not have been read yet. */
    void heardFrom(InstanceId id) {
        if (!listed.contains(id)) {
            add(id);
            sharing = Optional.empty();
        }
    }

    /** Records that another entry has answered a message of this entry, and so knows it. */
    void answered(InstanceId id, Moment requestedAt) {
        if (ownReadAt.isPresent() && !requestedAt.isBefore(ownReadAt.get())) {
            awaited.remove(id);
        }
    }

    /** Returns how the limits of cold servers are divided; empty if this entry does not know it, and so sends nothing. */
    Optional<RateSharing> sharing(Moment now) {
        boolean fresh = readAt.filter(at -> !isOver(at, now)).isPresent();
        if (!fresh || ownReadAt.isEmpty()) {
            return Optional.empty();
        }
        if (removedAt.values().removeIf(at -> isOver(at, now))) {
            sharing = Optional.empty();
        }
        if (isOver(ownReadAt.get(), now)) {
            awaited.clear();
        }
        if (!awaited.isEmpty()) {
            return Optional.empty();
        }
        if (sharing.isEmpty()) {
            Set<InstanceId> all = new HashSet<>(listed);
            all.addAll(removedAt.keySet());
            all.add(self);
            sharing = Optional.of(new RateSharing(self, all));
        }
        return sharing;
    }

    private static boolean isOver(Moment since, Moment now) {
        return now.since(since).compareTo(FRESHNESS) > 0;
    }
}
