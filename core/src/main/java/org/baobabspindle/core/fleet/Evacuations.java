package org.baobabspindle.core.fleet;

import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.Checks;
import org.baobabspindle.core.time.Moment;

/**
 * The availability zones that the operator has evacuated, as of a position in the feed that states them. The state of
 * the later position wins, whether it was read from the store or came from another entry.
 */
public final class Evacuations {
    /** The bound if the settings state none. */
    public static final Duration DEFAULT_BOUND = Duration.ofSeconds(5);

    /** How long requests may still go to a zone after a live read, so that other zones can form groups meanwhile. */
    private static final Duration MAX_STOP_DELAY = Duration.ofSeconds(2);

    /** Subtracted from the bound, for the time between the decision to send a request and its arrival. */
    private static final Duration MARGIN = Duration.ofMillis(500);

    /** How long the share of a zone grows after its evacuation was withdrawn; its servers may be cold. */
    private static final Duration RAMP = Duration.ofSeconds(5);

    /** The shortest time between two calls of {@link #awaitsNews} that is taken for a pause of the process. */
    private static final Duration MIN_PAUSE = Duration.ofSeconds(1);

    /** How long requests wait for news after a pause; neither the store nor another entry can be reached after that. */
    private static final Duration MAX_HOLD = Duration.ofSeconds(2);

    private final Duration bound;
    private boolean inUse;
    private Optional<Position> asOf = Optional.empty();
    private final Map<AvailabilityZone, Moment> stopAt = new TreeMap<>();
    private final Map<AvailabilityZone, Moment> withdrawnAt = new TreeMap<>();

    /** A moment as of which the state is known to have been the newest. */
    private Optional<Moment> provenAt = Optional.empty();

    private Optional<Moment> lastCheck = Optional.empty();
    private Optional<Moment> wokeAt = Optional.empty();

    /**
     * Creates the state of an entry that has not read the feed yet.
     *
     * @param bound the time from the acknowledgement of an evacuation after which no request may reach the zone; empty if
     *     the settings state none
     */
    public Evacuations(Optional<Duration> bound) {
        this.bound = bound.orElse(DEFAULT_BOUND);
        this.inUse = bound.isPresent();
    }

    /**
     * A position in the feed.
     *
     * @param era the era of the store
     * @param offset the number of records before the position in this era
     */
    public record Position(long era, long offset) implements Comparable<Position> {
        /** Validates the era and the offset. */
        public Position {
            Checks.require(era >= 0 && offset >= 0, "position must not be negative: " + era + ", " + offset);
        }

        @Override
        public int compareTo(Position other) {
            return Comparator.comparingLong(Position::era)
                    .thenComparingLong(Position::offset)
                    .compare(this, other);
        }
    }

    /** How the state became known. */
    public enum Source {
        /** This entry read it in the records after a position that it knew, so that its age is known. */
        LIVE_READ,
        /** This entry read the latest records of all keys; the age of the state is unknown. */
        SNAPSHOT,
        /** Another entry stated it; its age is unknown. */
        PEER
    }

    /**
     * The difference that a new state makes.
     *
     * @param evacuated the zones that are evacuated now and were not before
     * @param withdrawn the zones that were evacuated and are no longer
     */
    public record Change(Set<AvailabilityZone> evacuated, Set<AvailabilityZone> withdrawn) {
        /** A state that changes nothing. */
        public static final Change NONE = new Change(Set.of(), Set.of());

        /**
         * Returns whether the state changes nothing.
         *
         * @return whether no zone is added or withdrawn
         */
        public boolean isEmpty() {
            return evacuated.isEmpty() && withdrawn.isEmpty();
        }
    }

    /**
     * Applies a state, unless the known one is of a later position. A newly evacuated zone gets no more requests from
     * now on, or a little later if it is known that the bound is kept.
     *
     * @param position the position of the state
     * @param zones all zones that are evacuated as of this position
     * @param source how the state became known
     * @param provenBy a moment that is not later than the read of the store that gave the state; empty if none is known
     * @param now the present time
     * @return what has changed
     */
    public Change update(
            Position position, Set<AvailabilityZone> zones, Source source, Optional<Moment> provenBy, Moment now) {
        int order = asOf.map(position::compareTo).orElse(1);
        if (order < 0) {
            return Change.NONE;
        }
        Change change = Change.NONE;
        if (order > 0 || source != Source.PEER) {
            asOf = Optional.of(position);
            change = replaceZones(zones, stopTime(source, now), now);
        }
        if (provenBy.isPresent()
                && provenAt.filter(at -> !at.isBefore(provenBy.get())).isEmpty()) {
            provenAt = provenBy;
        }
        return change;
    }

    /** Returns when requests to a zone must stop whose evacuation has just become known. */
    private Moment stopTime(Source source, Moment now) {
        if (source != Source.LIVE_READ || provenAt.isEmpty()) {
            return now;
        }
        // The record was not acknowledged before the last moment as of which the state without it was the newest.
        Duration left = bound.minus(MARGIN).minus(now.since(provenAt.get()));
        Duration delay = left.compareTo(MAX_STOP_DELAY) < 0 ? left : MAX_STOP_DELAY;
        return delay.isNegative() ? now : now.plus(delay);
    }

    /** Returns whether a time is reached by either clock; the monotonic one stops while the instance is suspended. */
    private static boolean isReached(Moment time, Moment now) {
        return !now.isBefore(time) || now.wallMillis() >= time.wallMillis();
    }

    private Change replaceZones(Set<AvailabilityZone> zones, Moment stop, Moment now) {
        Set<AvailabilityZone> evacuated = new TreeSet<>(zones);
        evacuated.removeAll(stopAt.keySet());
        Set<AvailabilityZone> withdrawn = new TreeSet<>(stopAt.keySet());
        withdrawn.removeAll(zones);
        for (AvailabilityZone z : withdrawn) {
            if (isReached(stopAt.remove(z), now)) {
                withdrawnAt.put(z, now);
            }
        }
        for (AvailabilityZone z : evacuated) {
            withdrawnAt.remove(z);
            stopAt.put(z, stop);
            inUse = true;
        }
        return new Change(Set.copyOf(evacuated), Set.copyOf(withdrawn));
    }

    /**
     * Stops requests to an evacuated zone before its time, because the other zones have enough slots.
     *
     * @param zone the zone
     * @param now the present time
     * @return whether requests to it had not stopped yet
     */
    public boolean stopEarly(AvailabilityZone zone, Moment now) {
        Moment at = stopAt.get(zone);
        if (at == null || isReached(at, now)) {
            return false;
        }
        stopAt.put(zone, now);
        return true;
    }

    /**
     * Returns the share of the usual requests that the servers of a zone may get.
     *
     * @param zone the zone
     * @param now the present time
     * @return 0 while it is evacuated, 1 usually, and a value that grows linearly after the evacuation was withdrawn
     */
    public double share(AvailabilityZone zone, Moment now) {
        Moment stop = stopAt.get(zone);
        if (stop != null) {
            return isReached(stop, now) ? 0 : 1;
        }
        Moment withdrawn = withdrawnAt.get(zone);
        if (withdrawn == null) {
            return 1;
        }
        return Math.max(0, Math.min(1, now.monotonicMillisSince(withdrawn) / (double) RAMP.toMillis()));
    }

    /**
     * Returns whether all requests must wait, because the process was paused for so long that a zone may have been
     * evacuated meanwhile. They wait until the state is known to be recent, but not for long if nothing can tell. Must
     * be called at short intervals.
     *
     * @param now the present time
     * @return whether no request may be sent now
     */
    public boolean awaitsNews(Moment now) {
        if (lastCheck.filter(at -> now.since(at).compareTo(MIN_PAUSE) >= 0).isPresent()) {
            wokeAt = Optional.of(now);
        }
        if (lastCheck.filter(at -> !at.isBefore(now)).isEmpty()) {
            lastCheck = Optional.of(now);
        }
        if (wokeAt.isEmpty()) {
            return false;
        }
        if (now.since(wokeAt.get()).compareTo(MAX_HOLD) >= 0) {
            wokeAt = Optional.empty();
            return false;
        }
        return inUse
                && provenAt.filter(at -> now.since(at).compareTo(bound.minus(MARGIN)) > 0)
                        .isPresent();
    }

    /**
     * Returns the evacuated zones, whether or not requests to them have stopped already.
     *
     * @return the zones
     */
    public Set<AvailabilityZone> zones() {
        return Set.copyOf(stopAt.keySet());
    }

    /**
     * Returns whether every zone gets its usual share of the requests.
     *
     * @param now the present time
     * @return whether no zone is evacuated, nor was until recently
     */
    public boolean isIdle(Moment now) {
        withdrawnAt.values().removeIf(at -> !now.isBefore(at.plus(RAMP)));
        return stopAt.isEmpty() && withdrawnAt.isEmpty();
    }

    /**
     * Returns whether other entries may need this state: the settings state a bound, or a zone was evacuated.
     *
     * @return whether evacuations are in use
     */
    public boolean inUse() {
        return inUse;
    }

    /**
     * Returns the position of the state.
     *
     * @return the position; empty before the first state
     */
    public Optional<Position> asOf() {
        return asOf;
    }

    /**
     * Returns how long ago the state was known to be the newest.
     *
     * @param now the present time
     * @return the age; empty if it is unknown
     */
    public Optional<Duration> age(Moment now) {
        return provenAt.map(now::since);
    }
}
