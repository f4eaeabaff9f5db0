package org.baobabspindle.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.baobabspindle.core.dispatch.RelayPolicy;
import org.baobabspindle.core.time.Moment;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Processes one request of a caller, from its arrival to the final response. A request has at most one call at a time, to
 * a backend server or another entry; events of earlier calls are ignored.
 */
final class CallerExchange implements BackendCall.Listener, RequestBody.Listener {
    private static final System.Logger LOGGER = System.getLogger(CallerExchange.class.getName());

    private final GatewayContext context;
    private final Request request;
    private final CallerAdmission admission;
    private final CallerResponse response;
    private final RequestBody requestBody;
    private final ResponseBuffer bufferedBody;
    private final RequestProgress progress;
    private final SlotWait slotWait;
    private final ExchangeLog log;

    private SegmentedBytes body = SegmentedBytes.EMPTY;
    private Optional<BackendCall> call = Optional.empty();

    /** The destination of the current call or else of the last one. */
    private Optional<Destination> destination = Optional.empty();

    /** The response to the current call; the headers of a later call for the same stream may differ. */
    private CallAnswer answer = new CallAnswer();

    private Optional<PendingRetry> pendingRetry = Optional.empty();

    /** The time after which the caller may retry, as stated by the entry that refused the relayed request. */
    private Optional<Duration> retryAfterOfEntry = Optional.empty();

    private boolean finished;

    private Moment lastReceivedAt;

    CallerExchange(GatewayContext context, Request request, Response response, Callback callback, Moment now) {
        this.context = context;
        this.request = request;
        this.requestBody = new RequestBody(request, context.bodyBudget(), this);
        this.bufferedBody = new ResponseBuffer(context.bodyBudget());
        this.slotWait = new SlotWait(context.dispatcher());
        this.lastReceivedAt = now;
        this.admission = new CallerAdmission(context, request, now);
        this.progress = new RequestProgress(context, admission, now);
        this.log = new ExchangeLog(context, admission, progress, admission.requestId(), now);
        Callback done = Callback.from(requestBody.completeAfter(callback), this::closed);
        this.response = new CallerResponse(
                context,
                response,
                admission.relayed(),
                new CallerResponseWriter(response, done, () -> callerDisconnected("writing failed")));
    }

    /** Reads the body of the request; then checks the request and finds a destination for it, or refuses it. */
    void begin(Moment now) {
        context.started(this);
        runOrFail(requestBody::read, now);
    }

    @Override
    public void bodyRead(SegmentedBytes content) {
        admit(content, context.clock().now());
    }

    @Override
    public void bodyRefused(Refusal cause) {
        refuse(cause, "the body was not read", context.clock().now());
    }

    @Override
    public void bodyCutOff(String reason) {
        callerDisconnected("connection ended while the body was read: " + reason);
    }

    @Override
    public void bodyFailed(Throwable failure) {
        fail(failure, context.clock().now());
    }

    private void admit(SegmentedBytes content, Moment now) {
        synchronized (this) {
            if (finished) {
                return;
            }
            body = content;
            Optional<Refusal> refusal = admission.check(content, now);
            if (!admission.relayed()) {
                admission.pool().ifPresent(p -> context.dispatcher().requestArrived(p, now));
            }
            if (refusal.isEmpty() && choosePath(now) == RelayPolicy.Path.DIRECT) {
                refusal = admission.checkDispatch(now);
            }
            if (refusal.isPresent()) {
                refuse(refusal.get(), "", now);
                return;
            }
        }
        findDestination(now);
    }

    /** Runs a step of the exchange. A failure of any kind ends the request, since no later event might end it. */
    private void runOrFail(Runnable step, Moment now) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            fail(e, now);
        }
    }

    private synchronized void fail(Throwable failure, Moment now) {
        try {
            refuse(isSent() ? Refusal.BROKEN : Refusal.INTERNAL_ERROR, failure.toString(), now);
        } catch (RuntimeException | Error e) {
            failure.addSuppressed(e);
        } finally {
            if (finished) {
                response.abortUnlessComplete(failure.toString());
            }
            LOGGER.log(System.Logger.Level.ERROR, "processing a request failed", failure);
        }
    }

    /** Returns whether the request may have been sent to a backend server. */
    private boolean isSent() {
        return progress.mayHaveRun() || call.isPresent();
    }

    /** Ends the request because of a failure that prevented its call. */
    private void abandon(Destination to, Throwable e, Moment now) {
        Optional<BackendCall> failed;
        synchronized (this) {
            failed = call;
            call = Optional.empty();
            failed.ifPresent(c -> progress.recordAttempt());
        }
        failed.ifPresent(c -> c.cancel("sending failed"));
        fail(e, now);
        to.ended(false, Dispatcher.CallResult.NEUTRAL, now);
    }

    private RelayPolicy.Path choosePath(Moment now) {
        return progress.choosePath(response.committed(), now);
    }

    /** Queues the request for a target, or relays it. */
    private void findDestination(Moment now) {
        Runnable next;
        synchronized (this) {
            if (finished) {
                return;
            }
            next = switch (choosePath(now)) {
                case DIRECT -> queue(now);
                case RELAY -> relay(now);
                case NONE -> {
                    refuse(Refusal.PARTITIONED, "no server can be reached", now);
                    yield () -> {};
                }
            };
        }
        next.run();
    }

    /** Returns the action that queues the request, to be run without the lock. */
    private Runnable queue(Moment now) {
        Ticket t = new Ticket(
                admission.pool().orElseThrow(),
                response.committed() ? 0 : admission.priority(),
                progress.hasBeenSent() ? admission.retryWaitLimits(now) : admission.waitLimits(),
                progress.triedTargets(),
                progress.silentTargets(),
                admission.prompt(),
                this::sendTo,
                this::waitExpired);
        slotWait.begin(t, now);
        return () -> context.dispatcher().submit(t, now);
    }

    /** Returns the action that relays the request, to be run without the lock. */
    private Runnable relay(Moment now) {
        if (requestBody.closedByCaller()) {
            return this::connectionClosed;
        }
        Optional<Refusal> refusal = progress.checkBeforeRelay(response.committed(), now);
        if (refusal.isPresent()) {
            refuse(refusal.get(), "before it was relayed", now);
            return () -> {};
        }
        EntryDestination to = progress.relay(response.committed());
        log.relayed("no server can be reached", to);
        return call(to, now);
    }

    /** Sends the request to the target that was assigned to it. */
    private void sendTo(Ticket.AssignedTarget t) {
        Moment now = context.clock().now();
        ServerDestination to = new ServerDestination(context, t, admission);
        Runnable next;
        try {
            next = takeTarget(to, now);
        } catch (RuntimeException | Error e) {
            abandon(to, e, now);
            return;
        }
        runOrFail(next, now);
    }

    /**
     * Repeats the checks whose outcome may have changed while the request waited; returns the action that follows, to be
     * run without the lock.
     */
    private synchronized Runnable takeTarget(ServerDestination to, Moment now) {
        slotWait.end(now);
        boolean direct = finished || (choosePath(now) == RelayPolicy.Path.DIRECT && to.mayReceive(now));
        if (!direct) {
            return () -> {
                to.ended(false, Dispatcher.CallResult.NEUTRAL, now);
                findDestination(now);
            };
        }
        if (!finished && requestBody.closedByCaller()) {
            return () -> {
                connectionClosed();
                to.ended(false, Dispatcher.CallResult.NEUTRAL, now);
            };
        }
        Optional<Refusal> refusal =
                finished ? Optional.of(Refusal.NOT_RUN) : progress.checkBeforeSend(response.committed(), now);
        if (refusal.isPresent()) {
            refuse(refusal.get(), "while waiting for a target", now);
            return () -> to.ended(false, Dispatcher.CallResult.NEUTRAL, now);
        }
        return call(to, now);
    }

    /** Begins a call; returns the action that sends it, to be run without the lock. */
    private Runnable call(Destination to, Moment now) {
        destination = Optional.of(to);
        lastReceivedAt = now;
        log.placed(to, slotWait.millis());
        progress.sendingTo(to);
        answer = new CallAnswer();
        BackendCall next = new BackendCall(
                context,
                to,
                BackendCall.Message.of(request, body),
                admission.gatewayHeaders(response.lastEventId(), to.predicted(), now),
                admission.connectionUse(to, now),
                this);
        to.sent(now);
        call = Optional.of(next);
        return () -> {
            try {
                next.send();
            } catch (RuntimeException | Error e) {
                abandon(to, e, now);
            }
        };
    }

    @Override
    public boolean isResumable() {
        return admission.streaming() && progress.isRepeatable();
    }

    @Override
    public void headers(BackendCall from, BackendCall.Head head) {
        Moment now = context.clock().now();
        runOrFail(() -> receiveHead(from, head, now), now);
    }

    private synchronized void receiveHead(BackendCall from, BackendCall.Head head, Moment now) {
        if (isStale(from)) {
            return;
        }
        lastReceivedAt = now;
        answer.head(head);
        response.setHead(head, admission.lastEventOfCaller());
        bufferedBody.clear();
    }

    private void cancelTooLong(BackendCall from, String reason) {
        log.broken(reason, from.destination());
        from.cancel(reason);
    }

    private boolean isStale(BackendCall from) {
        return finished || !call.equals(Optional.of(from));
    }

    @Override
    public void content(BackendCall from, ByteBuffer bytes) {
        Moment now = context.clock().now();
        runOrFail(() -> receive(from, bytes, now), now);
    }

    private void receive(BackendCall from, ByteBuffer bytes, Moment now) {
        from.destination().bytesReceived(now);
        synchronized (this) {
            if (isStale(from)) {
                return;
            }
            lastReceivedAt = now;
            if (!admission.streaming() || answer.status() != 200) {
                if (!bufferedBody.add(bytes)) {
                    cancelTooLong(from, "the body is too long");
                }
                return;
            }
            for (EventSplitter.Event e : answer.split(bytes)) {
                from.destination().eventReceived(answer.eventReceived(now), now);
                progress.answering(now);
                Optional<String> fault = response.writeEvent(e);
                if (fault.isPresent()) {
                    if (response.isTooLongForCaller()) {
                        refuse(Refusal.BROKEN, fault.get(), now);
                    }
                    from.cancel(fault.get());
                    return;
                }
            }
            if (answer.eventTooLong()) {
                cancelTooLong(from, "an event is too long");
            }
        }
    }

    @Override
    public void ended(BackendCall from, BackendCall.End end, String detail) {
        Moment now = context.clock().now();
        NextStep step;
        boolean started;
        Dispatcher.CallResult result;
        synchronized (this) {
            if (!call.equals(Optional.of(from))) {
                return;
            }
            call = Optional.empty();
            answer.ended(end);
            started = answer.started();
            boolean movedElsewhere = end == BackendCall.End.CANCELLED && progress.retryGranted();
            result = finished || movedElsewhere ? Dispatcher.CallResult.NEUTRAL : answer.callResult(end);
            step = nextStepOrFail(end, detail, now);
        }
        runOrFail(() -> from.destination().ended(started, result, now), now);
        if (step == NextStep.FIND_DESTINATION) {
            runOrFail(() -> findDestination(now), now);
        }
    }

    private NextStep nextStepOrFail(BackendCall.End end, String detail, Moment now) {
        try {
            if (end == BackendCall.End.BROKEN) {
                destination.ifPresent(d -> progress.recordBroken(d, admission.requestId(), now));
            }
            return finished ? NextStep.NONE : nextStep(end, detail, now);
        } catch (RuntimeException | Error e) {
            if (end != BackendCall.End.NOT_SENT) {
                progress.recordAttempt();
            }
            fail(e, now);
            return NextStep.NONE;
        }
    }

    private NextStep nextStep(BackendCall.End end, String detail, Moment now) {
        Destination from = destination.orElseThrow();
        Optional<Refusal> refusalOfEntry = from.entry().flatMap(e -> RelayMark.refusal(answer.headers()));
        if (end == BackendCall.End.COMPLETE && refusalOfEntry.isPresent()) {
            return refusedByEntry(from, refusalOfEntry.get(), now);
        }
        if (end == BackendCall.End.COMPLETE && answer.notRun(context.headerNames())) {
            progress.recordRefusal();
            return retryOrGiveUp(Refusal.NOT_RUN, true, "backend server did not run the request", now);
        }
        if (end == BackendCall.End.NOT_SENT) {
            progress.recordUnreachable(from, now);
            return retryOrGiveUp(Refusal.NOT_RUN, false, detail, now);
        }
        progress.recordAttempt();
        if (end == BackendCall.End.COMPLETE && !answer.isProven()) {
            return repeatOrGiveUp(Refusal.BROKEN, "response may answer an earlier request", now);
        }
        if (end == BackendCall.End.COMPLETE && response.isCompletedBy(answer, from, admission)) {
            return deliver(now);
        }
        progress.recordFailure(from, now);
        String reason =
                end == BackendCall.End.COMPLETE ? "status " + answer.status() + " is not a complete response" : detail;
        return repeatOrGiveUp(Refusal.BROKEN, reason, now);
    }

    private NextStep refusedByEntry(Destination entry, Refusal refusal, Moment now) {
        String reason = entry.key() + " refused the request: " + refusal;
        if (refusal.mayHaveRun()) {
            progress.recordAttempt();
            return repeatOrGiveUp(refusal, reason, now);
        }
        progress.recordFailure(entry, now);
        if (refusal.specificToEntry() || response.committed()) {
            return retryOrGiveUp(refusal, refusal == Refusal.NOT_RUN, reason, now);
        }
        retryAfterOfEntry =
                Optional.ofNullable(answer.headers().get("Retry-After")).flatMap(ServerNotices::parseSeconds);
        return giveUp(refusal, reason, now);
    }

    /** Retries a request that may have run if its route allows that, else gives up. */
    private NextStep repeatOrGiveUp(Refusal otherwise, String reason, Moment now) {
        return progress.isRepeatable() ? retryOrGiveUp(otherwise, true, reason, now) : giveUp(otherwise, reason, now);
    }

    /**
     * Retries the request at another target if that is still allowed, else gives up.
     *
     * @param otherwise the refusal if no attempt may have run
     * @param budgeted whether the retry is taken out of the retry budget
     */
    private NextStep retryOrGiveUp(Refusal otherwise, boolean budgeted, String reason, Moment now) {
        RelayPolicy.Path path = choosePath(now);
        if (progress.awaitsEvidence(path, response.committed(), now)) {
            pendingRetry = Optional.of(new PendingRetry(otherwise, budgeted, reason));
            return NextStep.NONE;
        }
        pendingRetry = Optional.empty();
        return progress.tryRetry(path, budgeted, now)
                ? retry(reason)
                : giveUp(progress.mayHaveRun() ? Refusal.BROKEN : otherwise, reason, now);
    }

    private NextStep retry(String reason) {
        log.retry(reason, destination, answer, response.lastEventId());
        return NextStep.FIND_DESTINATION;
    }

    private NextStep giveUp(Refusal refusal, String reason, Moment now) {
        refuse(refusal, reason, now);
        return NextStep.NONE;
    }

    private NextStep deliver(Moment now) {
        boolean succeeded = response.status() == 200;
        context.quarantine().served(admission::suspect, succeeded ? admission.sharedParts() : List.of(), now);
        if (response.status() >= 500 && !response.committed() && progress.tryRetryServerError(choosePath(now), now)) {
            return retry("backend server responded with status " + response.status());
        }
        finished = true;
        boolean streamed = admission.streaming() && response.status() == 200;
        response.finish(streamed ? Optional.empty() : Optional.of(bufferedBody), answer.afterLastEvent());
        logOutcome("answered", "", response.status(), now);
        return NextStep.NONE;
    }

    /**
     * Responds with a status of this entry's own. A response that has begun is aborted, so that the caller can see that
     * it is incomplete.
     */
    private synchronized void refuse(Refusal cause, String reason, Moment now) {
        if (finished) {
            return;
        }
        finished = true;
        Refusal refusal = isSent() && cause.isPromise() ? Refusal.BROKEN : cause;
        cancelPending();
        if (response.headSent()) {
            response.abort(reason);
            logOutcome("cut", cause + ": " + reason, response.status(), now);
            return;
        }
        response.refuse(refusal, admission.retryAfter().or(() -> retryAfterOfEntry));
        logOutcome("refused", cause + (reason.isEmpty() ? "" : ": " + reason), refusal.status(), now);
    }

    private void cancelPending() {
        slotWait.cancel();
        call.ifPresent(c -> c.cancel("request has ended"));
    }

    private void waitExpired() {
        Moment now = context.clock().now();
        runOrFail(() -> refuse(Refusal.NO_CAPACITY, "timed out waiting for a free slot", now), now);
    }

    private void connectionClosed() {
        callerDisconnected("caller closed the connection");
    }

    /** Ends the request because its caller has disconnected; logs if a response could not be delivered. */
    private void callerDisconnected(String reason) {
        Moment now = context.clock().now();
        synchronized (this) {
            logOutcome(finished ? "undelivered" : "left", reason, 0, now);
            if (finished) {
                return;
            }
            finished = true;
            cancelPending();
        }
        response.abort("caller has disconnected");
    }

    /** The response was written completely or aborted. */
    private synchronized void closed() {
        context.closed(this);
        bufferedBody.clear();
        response.release();
        requestBody.discard();
    }

    /**
     * Checks the deadline of the request, a retry that waits, whether the request must leave for another entry, and
     * whether the caller is still connected; called periodically.
     */
    void tick(Moment now) {
        runOrFail(() -> check(now), now);
    }

    private void check(Moment now) {
        NextStep step = NextStep.NONE;
        Runnable interruption = () -> {};
        synchronized (this) {
            if (finished) {
                return;
            }
            if (!now.isBefore(admission.deadline())) {
                Refusal unsent = requestBody.isEnded() ? Refusal.NO_CAPACITY : Refusal.BODY_TIMEOUT;
                refuse(isSent() ? Refusal.TIMED_OUT : unsent, "request deadline has passed", now);
                return;
            }
            if (pendingRetry.isPresent()) {
                PendingRetry p = pendingRetry.get();
                step = retryOrGiveUp(p.otherwise(), p.budgeted(), p.reason(), now);
            } else if (progress.isPartitioned()) {
                boolean left = choosePath(now) != RelayPolicy.Path.DIRECT && slotWait.leave(now);
                step = left ? NextStep.FIND_DESTINATION : NextStep.NONE;
                interruption = call.map(c -> progress.interruption(c, response.committed(), lastReceivedAt, now))
                        .orElse(interruption);
            }
        }
        interruption.run();
        if (step == NextStep.FIND_DESTINATION) {
            findDestination(now);
        }
        if (requestBody.closedByCaller()) {
            connectionClosed();
        }
    }

    /** Ends the request because the process is about to exit. */
    synchronized void endWithProcess(Moment now) {
        runOrFail(() -> refuse(isSent() ? Refusal.BROKEN : Refusal.STOPPING, "the process is about to exit", now), now);
    }

    /**
     * Cancels the call to a target that does not respond, if the request can be retried at another one now. Otherwise
     * it waits, since the server may continue.
     *
     * @see GatewayContext#targetLost
     */
    void targetLost(String key, boolean onlyHeadUnresponsive) {
        Moment now = context.clock().now();
        BackendCall lost;
        synchronized (this) {
            if (finished
                    || call.isEmpty()
                    || destination.filter(d -> d.key().equals(key)).isEmpty()) {
                return;
            }
            lost = call.get();
            if (onlyHeadUnresponsive && !answer.silenceRecorded()) {
                answer.recordSilence();
                destination.ifPresent(d -> progress.recordBroken(d, admission.requestId(), now));
            }
            if (!progress.tryAcquireRetry(choosePath(now), response.committed(), now)) {
                log.silent(key);
                return;
            }
            progress.leavingSilent(key);
        }
        lost.cancel("group has lost a member");
    }

    private void logOutcome(String outcome, String reason, int sentStatus, Moment now) {
        requestBody.stopReading();
        context.finished(outcome);
        log.outcome(outcome, reason, sentStatus, destination, answer, response, slotWait.millis(), now);
    }
}
