package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.baobabspindle.core.dispatch.RelayPolicy;
import org.baobabspindle.core.dispatch.RelayPolicy.CallAction;
import org.baobabspindle.core.dispatch.RelayPolicy.Path;
import org.baobabspindle.core.dispatch.RelayPolicy.Receiver;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;

/**
 * What has been tried for one request, and what may be tried next: at backend servers, or through other entries. Guarded
 * by the lock of its exchange.
 */
final class RequestProgress {
    /** The number of targets that may refuse a request or be unreachable before it is given up. */
    private static final int MAX_REFUSALS = 3;

    /** The time within which other servers fail as well if the failure of one is caused by a partition of this entry. */
    private static final Duration CORRELATION_TIME = Duration.ofMillis(20);

    /**
     * An answer that has gone on for longer shows that no part of its prompt crashes the server; the first event may still
     * arrive from a server that crashes with it.
     */
    private static final Duration HARMLESS_ANSWER = Duration.ofMillis(100);

    /** The number of times that a request may be relayed. */
    private static final int MAX_RELAYS = 3;

    private final GatewayContext context;
    private final CallerAdmission admission;
    private final Set<String> triedTargets = new HashSet<>();
    private final Set<String> silentTargets = new HashSet<>();
    private final Set<InstanceId> failedEntries = new HashSet<>();
    private Optional<EntryAnnouncement> nextEntry = Optional.empty();
    private int attempts;
    private int refusals;
    private int unreachable;
    private int relays;

    /** The server of the last call if that has failed. */
    private Optional<BackendServer> failedServer = Optional.empty();

    private Moment failedAt;

    /** When the first event arrived, in the current call or an earlier one. */
    private Optional<Moment> answeringSince = Optional.empty();

    /** Whether the retry after the current call has been acquired already. */
    private boolean retryGranted;

    RequestProgress(GatewayContext context, CallerAdmission admission, Moment now) {
        this.failedAt = now;
        this.context = context;
        this.admission = admission;
    }

    /** Returns the number of backend servers that may have run the request. */
    int attempts() {
        return attempts;
    }

    boolean mayHaveRun() {
        return attempts > 0;
    }

    /** Returns the keys of the targets to which the request was sent. */
    Set<String> triedTargets() {
        return triedTargets;
    }

    /** Returns the keys of the targets that the request left because they were silent; they may have continued. */
    Set<String> silentTargets() {
        return silentTargets;
    }

    /** The request is about to leave a silent target. */
    void leavingSilent(String target) {
        silentTargets.add(target);
    }

    /** Returns whether a backend server was already asked to run the request. */
    boolean hasBeenSent() {
        return attempts + refusals > 0;
    }

    /** Repeats the checks whose outcome may have changed while the request waited for a backend server. */
    Optional<Refusal> checkBeforeSend(boolean responseBegun, Moment now) {
        return checkDeadline(now).or(() -> admission.checkBeforeSend(responseBegun || mayHaveRun(), now));
    }

    /** Repeats the checks whose outcome may have changed before the request is relayed to another entry. */
    Optional<Refusal> checkBeforeRelay(boolean responseBegun, Moment now) {
        return checkDeadline(now).or(() -> admission.checkKeyBeforeSend(responseBegun || mayHaveRun(), now));
    }

    private Optional<Refusal> checkDeadline(Moment now) {
        return now.isBefore(admission.deadline())
                ? Optional.empty()
                : Optional.of(mayHaveRun() ? Refusal.TIMED_OUT : Refusal.NO_CAPACITY);
    }

    /** The request is about to be sent. */
    void sendingTo(Destination destination) {
        destination.server().ifPresent(s -> triedTargets.add(destination.key()));
        silentTargets.remove(destination.key());
        retryGranted = false;
        failedServer = Optional.empty();
    }

    /** A backend server may have run the request. */
    void recordAttempt() {
        attempts++;
    }

    /** A backend server did not run the request. */
    void recordRefusal() {
        refusals++;
    }

    /** The request could not be sent. */
    void recordUnreachable(Destination destination, Moment now) {
        if (destination.server().isPresent()) {
            refusals++;
            unreachable++;
        }
        recordFailure(destination, now);
    }

    /** A call has failed. If the destination is an entry, it does not get the request again. */
    void recordFailure(Destination destination, Moment now) {
        failedAt = now;
        destination.entry().ifPresent(e -> failedEntries.add(e.id()));
        failedServer = destination.server();
    }

    /** Returns whether other servers have failed at the same time as the last one. */
    private boolean othersFail() {
        return failedServer.filter(s -> context.relay().link().othersFail(s)).isPresent();
    }

    /** Chooses the path of the request, and the entry if it is to be relayed. */
    Path choosePath(boolean responseBegun, Moment now) {
        boolean partitioned = isPartitioned();
        if (!partitioned && unreachable == 0 && failedServer.isEmpty()) {
            return Path.DIRECT;
        }
        nextEntry = findEntry(now);
        return RelayPolicy.path(pending(responseBegun), partitioned, nextEntry.isPresent());
    }

    private Optional<EntryAnnouncement> findEntry(Moment now) {
        return relays >= MAX_RELAYS ? Optional.empty() : context.relay().nextEntry(failedEntries, now);
    }

    private RelayPolicy.PendingRequest pending(boolean responseBegun) {
        return new RelayPolicy.PendingRequest(admission.relayed(), unreachable, othersFail(), responseBegun);
    }

    /** An event of the response was received. */
    void answering(Moment now) {
        answeringSince = answeringSince.or(() -> Optional.of(now));
    }

    /** Records that a server broke off the request or went silent, perhaps because the request crashed it. */
    void recordBroken(Destination at, String requestId, Moment now) {
        boolean answering = answeringSince
                .filter(since -> now.since(since).compareTo(HARMLESS_ANSWER) > 0)
                .isPresent();
        at.server()
                .ifPresent(s -> context.quarantine().requestBroken(admission.suspect(), answering, requestId, s, now));
    }

    boolean isPartitioned() {
        return context.relay().link().isPartitioned();
    }

    /**
     * Relays the request to the entry that was chosen last. One backend server may run it, since it would be unknown how
     * many have run it if the entry did not answer.
     */
    EntryDestination relay(boolean responseBegun) {
        relays++;
        EntryAnnouncement entry = nextEntry.orElseThrow();
        if (hasBeenSent()) {
            context.relay().requestMoved(entry.entry().instance());
        }
        RelayMark mark = new RelayMark(1, stage(responseBegun), context.fleet().minVersion());
        return new EntryDestination(context, entry, mark);
    }

    private RelayMark.Stage stage(boolean responseBegun) {
        if (responseBegun) {
            return RelayMark.Stage.CONTINUED;
        }
        return hasBeenSent() ? RelayMark.Stage.RETRIED : RelayMark.Stage.NEW;
    }

    /**
     * Returns whether a retry waits until it is known whether the last server has crashed, or whether this entry is
     * partitioned. What a partitioned entry suspects of a request does not matter to other entries.
     */
    boolean awaitsEvidence(Path path, boolean responseBegun, Moment now) {
        if (path == Path.RELAY && isPartitioned()) {
            return false;
        }
        if (path == Path.DIRECT
                && responseBegun
                && !retryGranted
                && failedServer.isPresent()
                && now.since(failedAt).compareTo(CORRELATION_TIME) < 0) {
            return true;
        }
        return context.quarantine().awaitsInvestigation(admission::suspect, now)
                || (othersFail() && admission.checkQuarantine(now).isPresent());
    }

    /**
     * Returns whether the request may be sent again after its call has ended.
     *
     * @param budgeted whether the retry is taken out of the retry budget
     */
    boolean tryRetry(Path path, boolean budgeted, Moment now) {
        return isAllowed(path, now)
                && attempts < admission.maxAttempts()
                && (!budgeted || retryGranted || takeFromBudget(now));
    }

    private boolean isAllowed(Path path, Moment now) {
        boolean allowed =
                switch (path) {
                    case DIRECT -> refusals < MAX_REFUSALS
                            && admission.checkQuarantine(now).isEmpty();
                    case RELAY -> isPartitioned()
                            || admission.checkQuarantine(now).isEmpty();
                    case NONE -> false;
                };
        return allowed && now.isBefore(admission.deadline());
    }

    /** Returns whether the request may be sent again because the server responded with an error. */
    boolean tryRetryServerError(Path path, Moment now) {
        return isRepeatable()
                && attempts < admission.maxAttempts()
                && now.isBefore(admission.deadline())
                && (path == Path.RELAY || hasFreeTargetElsewhere(now))
                && takeFromBudget(now);
    }

    /**
     * Returns whether the request of a call in progress can be repeated by another server now, and acquires it. Another
     * entry checks the key itself, so that a stream that has begun stays if its key was removed.
     */
    boolean tryAcquireRetry(Path path, boolean responseBegun, Moment now) {
        retryGranted = retryGranted
                || (isRepeatable()
                        && attempts + 1 < admission.maxAttempts()
                        && isAllowed(path, now)
                        && (path != Path.RELAY
                                || !responseBegun
                                || admission.checkKey(now).isEmpty())
                        && (path == Path.RELAY || hasFreeTargetElsewhere(now))
                        && takeFromBudget(now));
        return retryGranted;
    }

    /** Returns whether the retry after the current call has been acquired already. */
    boolean retryGranted() {
        return retryGranted;
    }

    private boolean hasFreeTargetElsewhere(Moment now) {
        return context.dispatcher().hasFreeTarget(admission.pool().orElseThrow(), triedTargets, now);
    }

    boolean isRepeatable() {
        return admission.route().orElseThrow().repeatable();
    }

    private boolean takeFromBudget(Moment now) {
        return context.tryRetry(admission.pool().orElseThrow().service(), now);
    }

    /**
     * Returns the action that interrupts a call in progress if this entry is partitioned, to be run without the lock.
     *
     * @param lastReceivedAt when the call last received something, or began
     */
    Runnable interruption(BackendCall call, boolean responseBegun, Moment lastReceivedAt, Moment now) {
        CallAction action = retryGranted ? CallAction.KEEP : chooseAction(call, responseBegun, lastReceivedAt, now);
        if (action == CallAction.WITHDRAW) {
            return () -> call.withdraw("partitioned from backend servers");
        }
        return action == CallAction.MOVE && tryAcquireRetry(Path.RELAY, responseBegun, now)
                ? () -> call.cancel("partitioned from backend servers")
                : () -> {};
    }

    private Receiver receiver(Destination to) {
        return to.entry()
                .map(e -> context.relay().isPartitioned(e.id()) ? Receiver.PARTITIONED_ENTRY : Receiver.ENTRY)
                .orElse(Receiver.SERVER);
    }

    private CallAction chooseAction(BackendCall call, boolean responseBegun, Moment lastReceivedAt, Moment now) {
        RelayPolicy.CallInProgress inProgress = new RelayPolicy.CallInProgress(
                call.isSent(),
                receiver(call.destination()),
                isRepeatable() && attempts + 1 < admission.maxAttempts(),
                lastReceivedAt,
                context.relay().link().heardWithin(RelayPolicy.MIN_SILENCE));
        boolean entryAvailable = findEntry(now).isPresent();
        return RelayPolicy.action(pending(responseBegun), inProgress, isPartitioned(), entryAvailable, now);
    }
}
