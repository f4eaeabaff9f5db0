package org.baobabspindle.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.baobabspindle.core.dispatch.Target;
import org.baobabspindle.core.dispatch.TargetPool;
import org.baobabspindle.core.fleet.Route;
import org.baobabspindle.core.time.Moment;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Processes one request of a caller, from its arrival to the final response. A request has at most one call to a
 * backend server at a time; events of earlier calls are ignored.
 */
final class CallerExchange implements BackendCall.Listener {
    private static final System.Logger LOGGER = System.getLogger(CallerExchange.class.getName());

    /**
     * An answer that has gone on for longer shows that no part of its prompt crashes the server; the first event may still
     * arrive from a server that crashes with it.
     */
    private static final Duration HARMLESS_ANSWER = Duration.ofMillis(100);

    /** The number of targets that may refuse a request or be unreachable before it is given up. */
    private static final int MAX_REFUSALS = 3;

    private final GatewayContext context;
    private final Request request;
    private final Moment receivedAt;
    private final CallerAdmission admission;
    private final CallerResponse response;
    private final Set<String> tried = new HashSet<>();
    private final ResponseBuffer bufferedBody;

    private byte[] body = new byte[0];
    private Optional<Dispatcher.Ticket> ticket = Optional.empty();
    private Optional<BackendCall> call = Optional.empty();
    private Optional<Target> target = Optional.empty();

    /** The response to the current call; the headers of a later call for the same stream may differ. */
    private CallAnswer answer = new CallAnswer();

    /** When the first event arrived, in this call or an earlier one. */
    private Optional<Moment> answeringSince = Optional.empty();

    /** The refusal and reason of a retry that waits until it is known whether the last server has crashed. */
    private Optional<PendingRetry> pendingRetry = Optional.empty();

    /** Whether the retry after the current call has been acquired already. */
    private boolean retryGranted;

    private boolean finished;
    private boolean mayHaveRun;
    private int attempts;
    private int refusals;
    private long waitedMillis;
    private Moment waitingSince;
    private Moment sentAt;

    CallerExchange(GatewayContext context, Request request, Response response, Callback callback, Moment now) {
        this.context = context;
        this.request = request;
        this.receivedAt = now;
        this.bufferedBody = new ResponseBuffer(context.bufferBudget());
        this.waitingSince = now;
        this.admission = new CallerAdmission(context, request, now);
        this.response = new CallerResponse(
                context, response, new CallerResponseWriter(response, callback, this::callerDisconnected));
    }

    /**
     * Checks the request and requests a target for it, or refuses it.
     *
     * @param content the whole body of the request
     */
    void begin(byte[] content, Moment now) {
        runOrFail(() -> admit(content, now), now);
    }

    private void admit(byte[] content, Moment now) {
        synchronized (this) {
            body = content;
            Optional<Refusal> refusal = admission.check(content, now);
            admission.pool().ifPresent(p -> context.dispatcher().requestArrived(p, now));
            if (refusal.isPresent()) {
                refuse(refusal.get(), "", now);
                return;
            }
        }
        requestTarget(now);
    }

    /** Runs a step of the exchange. An exception ends the request, since no later event might end it. */
    private void runOrFail(Runnable step, Moment now) {
        try {
            step.run();
        } catch (RuntimeException e) {
            fail(e, now);
        }
    }

    private synchronized void fail(RuntimeException e, Moment now) {
        LOGGER.log(System.Logger.Level.ERROR, "processing a request failed", e);
        refuse(mayHaveRun || call.isPresent() ? Refusal.BROKEN : Refusal.INTERNAL_ERROR, e.toString(), now);
    }

    /** Queues the request for a target. */
    private void requestTarget(Moment now) {
        Dispatcher.Ticket t;
        synchronized (this) {
            if (finished) {
                return;
            }
            waitingSince = now;
            t = new Dispatcher.Ticket(
                    admission.pool().orElseThrow(),
                    response.committed() ? 0 : admission.priority(),
                    attempts + refusals > 0 ? admission.retryWaitLimits(now) : admission.waitLimits(),
                    tried,
                    this::sendTo,
                    this::waitExpired);
            ticket = Optional.of(t);
        }
        context.dispatcher().submit(t, now);
    }

    /** Sends the request to a target, after repeating the checks whose outcome may have changed while it waited. */
    private void sendTo(Target t) {
        Moment now = context.clock().now();
        try {
            trySendTo(t, now);
        } catch (RuntimeException e) {
            Optional<BackendCall> failed;
            synchronized (this) {
                failed = call;
                call = Optional.empty();
                mayHaveRun |= failed.isPresent();
            }
            failed.ifPresent(c -> c.cancel("sending failed"));
            fail(e, now);
            context.dispatcher()
                    .ended(
                            admission.pool().orElseThrow(),
                            t,
                            failed.isPresent() && admission.streaming(),
                            false,
                            Dispatcher.CallResult.NEUTRAL,
                            now);
        }
    }

    private void trySendTo(Target t, Moment now) {
        BackendCall next;
        synchronized (this) {
            ticket = Optional.empty();
            waitedMillis += now.monotonicMillisSince(waitingSince);
            Optional<Refusal> refusal = finished ? Optional.of(Refusal.NOT_RUN) : checkBeforeSend(now);
            if (refusal.isPresent()) {
                context.dispatcher()
                        .ended(admission.pool().orElseThrow(), t, false, false, Dispatcher.CallResult.NEUTRAL, now);
                refuse(refusal.get(), "while waiting for a target", now);
                return;
            }
            target = Optional.of(t);
            sentAt = now;
            tried.add(t.key());
            answer = new CallAnswer();
            retryGranted = false;
            next = new BackendCall(context, t, BackendCall.Message.of(request, body), gatewayHeaders(now), this);
            call = Optional.of(next);
        }
        context.dispatcher().sent(t, admission.streaming(), now);
        next.send();
    }

    private Optional<Refusal> checkBeforeSend(Moment now) {
        if (!now.isBefore(admission.deadline())) {
            return Optional.of(mayHaveRun ? Refusal.TIMED_OUT : Refusal.NO_CAPACITY);
        }
        return admission.checkBeforeSend(now);
    }

    private BackendCall.GatewayHeaders gatewayHeaders(Moment now) {
        String requested = request.getHeaders().get(context.headerNames().lastEventId());
        long last = response.lastEventId();
        String lastEvent = last >= 0 ? String.valueOf(last) : requested == null ? "" : requested;
        return new BackendCall.GatewayHeaders(
                Math.max(1, admission.deadline().monotonicMillisSince(now)),
                admission.account().map(a -> a.account().value()).orElse(""),
                -1,
                lastEvent);
    }

    @Override
    public void headers(BackendCall from, int newStatus, HttpFields headers) {
        synchronized (this) {
            if (isStale(from)) {
                return;
            }
            answer.head(newStatus, headers);
            response.setHead(newStatus, headers);
            bufferedBody.clear();
        }
    }

    private void cancelTooLong(BackendCall from, String reason) {
        context.log()
                .write(
                        "broken",
                        reason,
                        "request",
                        id(),
                        "server",
                        target.orElseThrow().server().id());
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
        context.quarantine().answerReceived(from.server(), now);
        synchronized (this) {
            if (isStale(from)) {
                return;
            }
            if (!admission.streaming() || answer.status() != 200) {
                if (!bufferedBody.add(bytes)) {
                    cancelTooLong(from, "the body is too long");
                }
                return;
            }
            for (EventSplitter.Event e : answer.split(bytes)) {
                context.dispatcher().eventReceived(target.orElseThrow(), answer.eventReceived(now), now);
                answeringSince = answeringSince.or(() -> Optional.of(now));
                if (!response.writeEvent(e)) {
                    from.cancel("event ids are not contiguous");
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
        Target t;
        boolean started;
        Dispatcher.CallResult result;
        synchronized (this) {
            if (!call.equals(Optional.of(from))) {
                return;
            }
            call = Optional.empty();
            t = target.orElseThrow();
            started = answer.started();
            result = callResult(end);
            step = nextStepOrFail(end, detail, now);
        }
        if (result == Dispatcher.CallResult.SUCCEEDED) {
            context.dispatcher()
                    .requestServed(admission.pool().orElseThrow(), Duration.ofMillis(now.monotonicMillisSince(sentAt)));
        }
        context.dispatcher().ended(admission.pool().orElseThrow(), t, admission.streaming(), started, result, now);
        if (step == NextStep.FIND_TARGET) {
            runOrFail(() -> requestTarget(now), now);
        }
    }

    private NextStep nextStepOrFail(BackendCall.End end, String detail, Moment now) {
        try {
            if (end == BackendCall.End.BROKEN) {
                recordBroken(now);
            }
            return finished ? NextStep.NONE : nextStep(end, detail, now);
        } catch (RuntimeException e) {
            mayHaveRun |= end != BackendCall.End.NOT_SENT;
            fail(e, now);
            return NextStep.NONE;
        }
    }

    private void recordBroken(Moment now) {
        boolean answering = answeringSince
                .filter(since -> now.since(since).compareTo(HARMLESS_ANSWER) > 0)
                .isPresent();
        context.quarantine()
                .requestBroken(
                        admission.suspect(),
                        answering,
                        id(),
                        target.orElseThrow().server(),
                        now);
    }

    private String service() {
        return admission.pool().orElseThrow().service();
    }

    private enum NextStep {
        NONE,
        FIND_TARGET
    }

    private Dispatcher.CallResult callResult(BackendCall.End end) {
        if (finished) {
            return Dispatcher.CallResult.NEUTRAL;
        }
        if (end == BackendCall.End.COMPLETE
                && answer.status() == 503
                && answer.headers().contains("Retry-After")) {
            return Dispatcher.CallResult.NEUTRAL;
        }
        boolean succeeded = end == BackendCall.End.COMPLETE && answer.status() < 500;
        return succeeded ? Dispatcher.CallResult.SUCCEEDED : Dispatcher.CallResult.FAILED;
    }

    private NextStep nextStep(BackendCall.End end, String detail, Moment now) {
        if (end == BackendCall.End.COMPLETE && refusedByServer()) {
            refusals++;
            return retryOrGiveUp(Refusal.NOT_RUN, true, "backend server did not run the request", now);
        }
        if (end == BackendCall.End.NOT_SENT) {
            refusals++;
            return retryOrGiveUp(Refusal.NOT_RUN, false, detail, now);
        }
        attempts++;
        mayHaveRun = true;
        if (end == BackendCall.End.COMPLETE && isCompleteResponse()) {
            return deliver(now);
        }
        String reason =
                end == BackendCall.End.COMPLETE ? "status " + answer.status() + " is not a complete response" : detail;
        return admission.route().orElseThrow().repeatable()
                ? retryOrGiveUp(Refusal.BROKEN, true, reason, now)
                : giveUp(Refusal.BROKEN, reason, now);
    }

    private boolean refusedByServer() {
        return answer.headers().contains(context.headerNames().notRun()) || answer.status() == 421;
    }

    private boolean isCompleteResponse() {
        boolean stream = admission.streaming() && answer.status() == 200;
        boolean complete = stream ? answer.isWholeStream(hasEventsBefore()) : !response.committed();
        return complete && answer.headers().contains(context.headerNames().serverStamp());
    }

    /** Returns whether the caller had received events of the stream, from this exchange or before. */
    private boolean hasEventsBefore() {
        return response.lastEventId() >= 0
                || request.getHeaders().contains(context.headerNames().lastEventId());
    }

    /**
     * Retries the request at another target if that is still allowed, else gives up.
     *
     * @param otherwise the refusal if no attempt may have run
     * @param budgeted whether the retry is taken out of the retry budget
     */
    private NextStep retryOrGiveUp(Refusal otherwise, boolean budgeted, String reason, Moment now) {
        if (context.quarantine().awaitsInvestigation(admission::suspect, now)) {
            pendingRetry = Optional.of(new PendingRetry(otherwise, budgeted, reason));
            return NextStep.NONE;
        }
        pendingRetry = Optional.empty();
        boolean allowed = attempts < admission.route().orElseThrow().maxAttempts()
                && refusals < MAX_REFUSALS
                && now.isBefore(admission.deadline())
                && admission.checkQuarantine(now).isEmpty()
                && (!budgeted || retryGranted || context.tryRetry(service(), now));
        if (!allowed) {
            return giveUp(mayHaveRun ? Refusal.BROKEN : otherwise, reason, now);
        }
        logRetry(reason);
        return NextStep.FIND_TARGET;
    }

    private record PendingRetry(Refusal otherwise, boolean budgeted, String reason) {}

    private void logRetry(String reason) {
        String after = target.map(Target::key).orElse("");
        context.log()
                .write(
                        "retry",
                        reason,
                        "request",
                        id(),
                        "after",
                        after,
                        "runs",
                        attempts,
                        "lastEvent",
                        response.lastEventId(),
                        "entries",
                        context.entryCount());
    }

    private NextStep giveUp(Refusal refusal, String reason, Moment now) {
        refuse(refusal, reason, now);
        return NextStep.NONE;
    }

    private NextStep deliver(Moment now) {
        boolean succeeded = response.status() == 200;
        context.quarantine().served(admission::suspect, succeeded ? admission.sharedParts() : List.of(), now);
        boolean retryServerError = response.status() >= 500
                && admission.route().orElseThrow().repeatable()
                && !response.committed()
                && attempts < admission.route().orElseThrow().maxAttempts()
                && now.isBefore(admission.deadline())
                && hasFreeTargetElsewhere(now)
                && context.tryRetry(service(), now);
        if (retryServerError) {
            logRetry("backend server responded with status " + response.status());
            return NextStep.FIND_TARGET;
        }
        finished = true;
        boolean streamed = admission.streaming() && response.status() == 200;
        response.finish(streamed ? Optional.empty() : Optional.of(bufferedBody.bytes()));
        logOutcome("answered", "", response.status(), now);
        return NextStep.NONE;
    }

    /**
     * Responds with a status of this entry's own. A response that has begun is aborted, so that the caller can see that
     * it is incomplete.
     */
    private void refuse(Refusal cause, String reason, Moment now) {
        if (finished) {
            return;
        }
        finished = true;
        Refusal refusal = mayHaveRun && cause.retryable() ? Refusal.BROKEN : cause;
        cancelPending();
        if (response.committed()) {
            response.abort(reason);
            logOutcome("cut", cause + ": " + reason, response.status(), now);
            return;
        }
        response.refuse(refusal, admission.retryAfter());
        logOutcome("refused", cause + (reason.isEmpty() ? "" : ": " + reason), refusal.status(), now);
    }

    private void cancelPending() {
        ticket.ifPresent(t -> context.dispatcher().withdraw(t));
        ticket = Optional.empty();
        call.ifPresent(c -> c.cancel("request has ended"));
    }

    private void waitExpired() {
        Moment now = context.clock().now();
        synchronized (this) {
            ticket = Optional.empty();
            refuse(mayHaveRun ? Refusal.BROKEN : Refusal.NO_CAPACITY, "timed out waiting for a free slot", now);
        }
    }

    /** Ends the request because its caller has disconnected. */
    void callerDisconnected() {
        Moment now = context.clock().now();
        synchronized (this) {
            if (finished) {
                return;
            }
            finished = true;
            cancelPending();
            logOutcome("left", "caller closed the connection", 0, now);
        }
        response.abort("caller has disconnected");
    }

    /**
     * Checks the deadline of the request, a retry that waits, and whether the caller is still connected; called
     * periodically.
     */
    void tick(Moment now) {
        runOrFail(() -> check(now), now);
    }

    private void check(Moment now) {
        NextStep step = NextStep.NONE;
        synchronized (this) {
            if (finished) {
                return;
            }
            if (!now.isBefore(admission.deadline())) {
                boolean sent = mayHaveRun || call.isPresent();
                refuse(sent ? Refusal.TIMED_OUT : Refusal.NO_CAPACITY, "request deadline has passed", now);
                return;
            }
            if (pendingRetry.isPresent()) {
                PendingRetry p = pendingRetry.get();
                step = retryOrGiveUp(p.otherwise(), p.budgeted(), p.reason(), now);
            }
        }
        if (step == NextStep.FIND_TARGET) {
            requestTarget(now);
        }
        if (request.getConnectionMetaData().getConnection().getEndPoint() instanceof PeekingEndPoint p
                && p.closedByCaller()) {
            callerDisconnected();
        }
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
                    || target.filter(t -> t.key().equals(key)).isEmpty()) {
                return;
            }
            lost = call.get();
            if (onlyHeadUnresponsive && !answer.silenceRecorded()) {
                answer.recordSilence();
                recordBroken(now);
            }
            retryGranted = retryGranted || acquireRetryElsewhere(now);
            if (!retryGranted) {
                context.log().write("silent", "request waits for its server", "request", id(), "target", key);
                return;
            }
        }
        lost.cancel("group has lost a member");
    }

    /** Returns whether a retry of a running call is possible at another target, and acquires it. */
    private boolean acquireRetryElsewhere(Moment now) {
        Route route = admission.route().orElseThrow();
        return route.repeatable()
                && attempts + 1 < route.maxAttempts()
                && refusals < MAX_REFUSALS
                && now.isBefore(admission.deadline())
                && admission.checkQuarantine(now).isEmpty()
                && hasFreeTargetElsewhere(now)
                && context.tryRetry(service(), now);
    }

    private boolean hasFreeTargetElsewhere(Moment now) {
        return context.dispatcher().hasFreeTarget(admission.pool().orElseThrow(), tried, now);
    }

    private String id() {
        return String.valueOf(request.getHeaders().get(context.headerNames().requestId()));
    }

    private void logOutcome(String outcome, String reason, int sentStatus, Moment now) {
        bufferedBody.clear();
        context.finished(this, outcome);
        Optional<TargetPool> pool = admission.pool();
        Object[] inputs = {
            "request", id(),
            "status", sentStatus,
            "route", admission.route().map(Route::name).orElse(""),
            "service", pool.map(TargetPool::service).orElse(""),
            "model", pool.map(TargetPool::model).orElse(""),
            "parts", admission.sharedParts(),
            "target", target.map(Target::key).orElse(""),
            "server", target.map(t -> t.server().id().value()).orElse(""),
            "runs", attempts,
            "tried", tried.size(),
            "waitedMs", waitedMillis,
            "totalMs", now.monotonicMillisSince(receivedAt),
            "silentMs", answer.silence(now).map(Duration::toMillis).orElse(-1L),
            "version", context.fleet().version(),
            "versionAgeMs",
                    context.fleet()
                            .configurationAge(now)
                            .map(Duration::toMillis)
                            .orElse(-1L)
        };
        context.log().write(outcome, reason, inputs);
    }
}
