package org.baobabspindle.core.dispatch;

import java.time.Duration;
import org.baobabspindle.core.time.Moment;

/**
 * Decides which requests an entry sends to backend servers itself and which it relays through another entry. A request
 * is relayed at most once: an entry that received it from another entry never relays it again.
 */
public final class RelayPolicy {
    /** The servers that could not be reached for a request after which it is relayed; one may simply have ended. */
    static final int MIN_UNREACHABLE = 2;

    /** How long a call and all other connections to backend servers must have been silent before the call is moved. */
    public static final Duration MIN_SILENCE = Duration.ofMillis(250);

    private RelayPolicy() {}

    /** The way to a backend server. */
    public enum Path {
        /** This entry sends the request to a backend server. */
        DIRECT,
        /** Another entry sends the request to a backend server. */
        RELAY,
        /** No entry can send the request now. */
        NONE
    }

    /** What to do with a call in progress. */
    public enum CallAction {
        /** Wait for the response. */
        KEEP,
        /** Withdraw the call if it has not been sent yet, and choose the path of its request again. */
        WITHDRAW,
        /** Cancel the call and repeat its request through another entry. */
        MOVE
    }

    /**
     * A request that is about to be sent.
     *
     * @param relayed whether it was received from another entry
     * @param unreachable the number of backend servers that could not be reached for it
     * @param othersFail whether other servers failed at the same time as the last one to which it was sent
     * @param responseBegun whether the caller has received a part of the response
     */
    public record PendingRequest(boolean relayed, int unreachable, boolean othersFail, boolean responseBegun) {
        private boolean serversFail() {
            return othersFail || unreachable >= MIN_UNREACHABLE;
        }
    }

    /**
     * A call in progress.
     *
     * @param sent whether the request may have been sent
     * @param to where it is sent
     * @param repeatable whether its request may be sent again, by its route and the attempts left
     * @param lastReceivedAt when it last received something; when it began, if nothing was received
     * @param othersHeard whether any backend server was heard from within {@link #MIN_SILENCE}
     */
    public record CallInProgress(
            boolean sent, Receiver to, boolean repeatable, Moment lastReceivedAt, boolean othersHeard) {
        private boolean silent(Moment now) {
            return !othersHeard && lastReceivedAt.isBefore(now.minus(MIN_SILENCE));
        }
    }

    /** Where a call is sent. */
    public enum Receiver {
        /** A backend server. */
        SERVER,
        /** Another entry, which reaches backend servers as far as is known. */
        ENTRY,
        /** Another entry, which has stated that it is partitioned from all backend servers as well. */
        PARTITIONED_ENTRY
    }

    /**
     * Returns the path of a request. Without another entry, a response that has begun is continued by the servers that
     * this entry may still reach.
     *
     * @param request the request
     * @param partitioned whether this entry is partitioned from all backend servers
     * @param entryAvailable whether another entry can take the request
     * @return the path
     */
    public static Path path(PendingRequest request, boolean partitioned, boolean entryAvailable) {
        boolean relay = !request.relayed() && (partitioned || request.serversFail());
        if (relay && entryAvailable) {
            return Path.RELAY;
        }
        return partitioned && !request.responseBegun() ? Path.NONE : Path.DIRECT;
    }

    /**
     * Returns what to do with a call of a request. A call that was sent is moved only while no server at all is heard
     * from: while other connections work, its server may still be processing it. A call to another entry is moved if that
     * entry is partitioned as well, since it never relays the request again.
     *
     * @param request the request
     * @param call its call
     * @param partitioned whether this entry is partitioned from all backend servers
     * @param entryAvailable whether another entry can take the request
     * @param now the present time
     * @return the action
     */
    public static CallAction action(
            PendingRequest request, CallInProgress call, boolean partitioned, boolean entryAvailable, Moment now) {
        if (!partitioned || call.to() == Receiver.ENTRY) {
            return CallAction.KEEP;
        }
        Path path = path(request, true, entryAvailable);
        if (!call.sent() && call.to() == Receiver.SERVER) {
            return path == Path.DIRECT ? CallAction.KEEP : CallAction.WITHDRAW;
        }
        return path == Path.RELAY && call.repeatable() && call.silent(now) ? CallAction.MOVE : CallAction.KEEP;
    }
}
