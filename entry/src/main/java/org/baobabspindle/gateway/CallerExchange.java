package org.baobabspindle.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashSet;
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
 * One request of a caller, from its arrival to its final answer. A request has at most one call to a backend server at a
 * time; what an older call still says is ignored.
 */
final class CallerExchange implements BackendCall.Listener {
    /** Targets that may refuse a request or be found unreachable before it is given up. */
    private static final int MAX_REFUSALS = 3;

    private final GatewayContext context;
    private final Request request;
    private final Moment receivedAt;
    private final CallerAdmission admission;
    private final CallerResponse answer;
    private final Set<String> tried = new HashSet<>();
    private final ResponseBuffer wholeBody;

    private byte[] body = new byte[0];
    private Optional<Dispatcher.Ticket> ticket = Optional.empty();
    private Optional<BackendCall> call = Optional.empty();
    private Optional<Target> target = Optional.empty();
    private EventSplitter splitter = new EventSplitter();

    // What the present call answers; a later call of a stream differs in its headers.
    private int callStatus;
    private HttpFields callHeaders = HttpFields.EMPTY;
    private boolean callStarted;
    private Moment lastEventAt;

    private boolean over;
    private boolean mayHaveRun;
    private int runs;
    private int refusals;
    private long waitedMillis;
    private Moment waitingSince;
    private Moment sentAt;

    CallerExchange(GatewayContext context, Request request, Response response, Callback callback, Moment now) {
        this.context = context;
        this.request = request;
        this.receivedAt = now;
        this.wholeBody = new ResponseBuffer(context.bufferBudget());
        this.waitingSince = now;
        this.admission = new CallerAdmission(context, request, now);
        this.answer = new CallerResponse(
                context, response, new CallerResponseWriter(response, callback, this::callerDisconnected));
    }

    /** Judges the request, whose body has been read, and looks for a target. */
    void begin(byte[] content, Moment now) {
        synchronized (this) {
            body = content;
            Optional<Refusal> refusal = admission.check(content, now);
            admission.pool().ifPresent(p -> context.dispatcher().requestArrived(p, now));
            if (refusal.isPresent()) {
                refuse(refusal.get(), "", now);
                return;
            }
        }
        seek(now);
    }

    /** Waits for a target. */
    private void seek(Moment now) {
        Dispatcher.Ticket t;
        synchronized (this) {
            if (over) {
                return;
            }
            waitingSince = now;
            t = new Dispatcher.Ticket(
                    admission.pool().orElseThrow(),
                    answer.committed() ? 0 : admission.priority(),
                    runs + refusals > 0 ? admission.retryWaitLimits(now) : admission.waitLimits(),
                    tried,
                    this::run,
                    this::waitedInVain);
            ticket = Optional.of(t);
        }
        context.dispatcher().submit(t, now);
    }

    /** Sends the request to a target; what could have changed while it waited is checked again. */
    private void run(Target t) {
        Moment now = context.clock().now();
        BackendCall next;
        synchronized (this) {
            ticket = Optional.empty();
            waitedMillis += now.monotonicMillisSince(waitingSince);
            Optional<Refusal> refusal = over ? Optional.of(Refusal.NOT_RUN) : recheck(now);
            if (refusal.isPresent()) {
                context.dispatcher()
                        .ended(admission.pool().orElseThrow(), t, false, false, Dispatcher.CallResult.NEUTRAL, now);
                refuse(refusal.get(), "while it waited", now);
                return;
            }
            target = Optional.of(t);
            sentAt = now;
            tried.add(t.key());
            callStarted = false;
            callStatus = 0;
            callHeaders = HttpFields.EMPTY;
            splitter = new EventSplitter();
            next = new BackendCall(
                    context.client(),
                    t,
                    BackendCall.Message.of(request, body),
                    stamped(now),
                    context.headerNames(),
                    context.notices(),
                    this);
            call = Optional.of(next);
        }
        context.dispatcher().sent(t, admission.streaming(), now);
        next.send();
    }

    private Optional<Refusal> recheck(Moment now) {
        if (!now.isBefore(admission.deadline())) {
            return Optional.of(mayHaveRun ? Refusal.TIMED_OUT : Refusal.NO_CAPACITY);
        }
        return admission.checkBeforeSend(now);
    }

    private BackendCall.GatewayHeaders stamped(Moment now) {
        String stated = request.getHeaders().get(context.headerNames().lastEventId());
        long last = answer.lastEventId();
        String lastEvent = last >= 0 ? String.valueOf(last) : stated == null ? "" : stated;
        return new BackendCall.GatewayHeaders(
                Math.max(1, admission.deadline().monotonicMillisSince(now)),
                admission.account().map(a -> a.account().value()).orElse(""),
                -1,
                lastEvent);
    }

    @Override
    public void headers(BackendCall from, int newStatus, HttpFields headers) {
        synchronized (this) {
            if (stale(from)) {
                return;
            }
            callStatus = newStatus;
            callHeaders = headers;
            answer.head(newStatus, headers);
            wholeBody.clear();
        }
    }

    private void tooLong(BackendCall from, String why) {
        context.log()
                .write(
                        "broken",
                        why,
                        "request",
                        id(),
                        "server",
                        target.orElseThrow().server().id());
        from.cancel(why);
    }

    private boolean stale(BackendCall from) {
        return over || !call.equals(Optional.of(from));
    }

    @Override
    public void content(BackendCall from, ByteBuffer bytes) {
        Moment now = context.clock().now();
        context.quarantine().answerReceived(from.server(), now);
        synchronized (this) {
            if (stale(from)) {
                return;
            }
            if (!admission.streaming() || callStatus != 200) {
                if (!wholeBody.add(bytes)) {
                    tooLong(from, "the body is too long");
                }
                return;
            }
            for (EventSplitter.Event e : splitter.split(bytes)) {
                Optional<Duration> pause = callStarted ? Optional.of(now.since(lastEventAt)) : Optional.empty();
                context.dispatcher().eventReceived(target.orElseThrow(), pause, now);
                callStarted = true;
                lastEventAt = now;
                if (!answer.event(e)) {
                    from.cancel("events are missing");
                    return;
                }
            }
            if (splitter.tooLong()) {
                tooLong(from, "an event is too long");
            }
        }
    }

    @Override
    public void ended(BackendCall from, BackendCall.End end, String detail) {
        Moment now = context.clock().now();
        Next next;
        Target t;
        boolean started;
        Dispatcher.CallResult verdict;
        synchronized (this) {
            if (!call.equals(Optional.of(from))) {
                return;
            }
            call = Optional.empty();
            t = target.orElseThrow();
            started = callStarted;
            verdict = verdict(end);
            if (end == BackendCall.End.BROKEN) {
                brokenOff(now);
            }
            next = over ? Next.NOTHING : next(end, detail, now);
        }
        if (verdict == Dispatcher.CallResult.SUCCEEDED) {
            context.dispatcher()
                    .requestServed(admission.pool().orElseThrow(), Duration.ofMillis(now.monotonicMillisSince(sentAt)));
        }
        context.dispatcher().ended(admission.pool().orElseThrow(), t, admission.streaming(), started, verdict, now);
        if (next == Next.SEEK) {
            seek(now);
        }
    }

    private void brokenOff(Moment now) {
        context.quarantine()
                .requestBroken(
                        admission.fingerprint(), id(), target.orElseThrow().server(), now);
    }

    private String service() {
        return admission.pool().orElseThrow().service();
    }

    private enum Next {
        NOTHING,
        SEEK
    }

    private Dispatcher.CallResult verdict(BackendCall.End end) {
        if (over) {
            return Dispatcher.CallResult.NEUTRAL;
        }
        if (end == BackendCall.End.COMPLETE && callStatus == 503 && callHeaders.contains("Retry-After")) {
            return Dispatcher.CallResult.NEUTRAL;
        }
        boolean sound = end == BackendCall.End.COMPLETE && callStatus < 500;
        return sound ? Dispatcher.CallResult.SUCCEEDED : Dispatcher.CallResult.FAILED;
    }

    private Next next(BackendCall.End end, String detail, Moment now) {
        if (end == BackendCall.End.COMPLETE && refusedByServer()) {
            refusals++;
            return again(Refusal.NOT_RUN, true, "the backend server did not run it", now);
        }
        if (end == BackendCall.End.NOT_SENT) {
            refusals++;
            return again(Refusal.NOT_RUN, false, detail, now);
        }
        runs++;
        mayHaveRun = true;
        if (end == BackendCall.End.COMPLETE && answerable()) {
            return deliver(now);
        }
        String why = end == BackendCall.End.COMPLETE ? "status " + callStatus + " is not the whole answer" : detail;
        return admission.route().orElseThrow().repeatable()
                ? again(Refusal.BROKEN, true, why, now)
                : giveUp(Refusal.BROKEN, why, now);
    }

    private boolean refusedByServer() {
        return callHeaders.contains(context.headerNames().notRun()) || callStatus == 421;
    }

    private boolean answerable() {
        boolean stream = admission.streaming() && callStatus == 200;
        boolean whole = stream ? !splitter.withinEvent() : !answer.committed();
        return whole && callHeaders.contains(context.headerNames().stamp());
    }

    /** Looks for another target if the request may still be sent, else gives up. */
    private Next again(Refusal otherwise, boolean budgeted, String why, Moment now) {
        boolean allowed = runs < admission.route().orElseThrow().maxAttempts()
                && refusals < MAX_REFUSALS
                && now.isBefore(admission.deadline())
                && admission.checkQuarantine(now).isEmpty()
                && (!budgeted || context.tryRetry(service(), now));
        if (!allowed) {
            return giveUp(mayHaveRun ? Refusal.BROKEN : otherwise, why, now);
        }
        logRetry(why);
        return Next.SEEK;
    }

    private void logRetry(String why) {
        String after = target.map(Target::key).orElse("");
        context.log()
                .write(
                        "retry",
                        why,
                        "request",
                        id(),
                        "after",
                        after,
                        "runs",
                        runs,
                        "lastEvent",
                        answer.lastEventId(),
                        "entries",
                        context.entryCount());
    }

    private Next giveUp(Refusal refusal, String why, Moment now) {
        refuse(refusal, why, now);
        return Next.NOTHING;
    }

    private Next deliver(Moment now) {
        context.quarantine().served(admission::fingerprint, now);
        boolean retryServerError = answer.status() >= 500
                && admission.route().orElseThrow().repeatable()
                && !answer.committed()
                && runs < admission.route().orElseThrow().maxAttempts()
                && now.isBefore(admission.deadline())
                && context.tryRetry(service(), now);
        if (retryServerError) {
            logRetry("the backend server answered with status " + answer.status());
            return Next.SEEK;
        }
        over = true;
        boolean streamed = admission.streaming() && answer.status() == 200;
        answer.finish(streamed ? Optional.empty() : Optional.of(wholeBody.bytes()));
        finished("answered", "", answer.status(), now);
        return Next.NOTHING;
    }

    /** Answers the request without a backend server's answer; a stream that has begun is cut visibly. */
    private void refuse(Refusal cause, String why, Moment now) {
        if (over) {
            return;
        }
        over = true;
        Refusal refusal = mayHaveRun && cause.retryable() ? Refusal.BROKEN : cause;
        withdraw();
        if (answer.committed()) {
            answer.abort(why);
            finished("cut", cause + ": " + why, answer.status(), now);
            return;
        }
        answer.refuse(refusal, admission.retryAfter());
        finished("refused", cause + (why.isEmpty() ? "" : ": " + why), refusal.status(), now);
    }

    private void withdraw() {
        ticket.ifPresent(t -> context.dispatcher().withdraw(t));
        ticket = Optional.empty();
        call.ifPresent(c -> c.cancel("the request is over"));
    }

    private void waitedInVain() {
        Moment now = context.clock().now();
        synchronized (this) {
            ticket = Optional.empty();
            refuse(mayHaveRun ? Refusal.BROKEN : Refusal.NO_CAPACITY, "no slot came free", now);
        }
    }

    /** Ends the request because its caller has left. */
    void callerDisconnected() {
        Moment now = context.clock().now();
        synchronized (this) {
            if (over) {
                return;
            }
            over = true;
            withdraw();
            finished("left", "the caller closed the connection", 0, now);
        }
        answer.abort("the caller has left");
    }

    /** Looks after the request while nothing else happens: time and the caller's connection. */
    void tick(Moment now) {
        synchronized (this) {
            if (over) {
                return;
            }
            if (!now.isBefore(admission.deadline())) {
                boolean sent = mayHaveRun || call.isPresent();
                refuse(sent ? Refusal.TIMED_OUT : Refusal.NO_CAPACITY, "its time is over", now);
                return;
            }
        }
        if (request.getConnectionMetaData().getConnection().getEndPoint() instanceof PeekingEndPoint p
                && p.closedByCaller()) {
            callerDisconnected();
        }
    }

    /** Moves the request elsewhere if it runs at a target that serves no more; see {@link GatewayContext#targetLost}. */
    void targetLost(String key, boolean headAlone) {
        BackendCall lost;
        synchronized (this) {
            if (over
                    || call.isEmpty()
                    || target.filter(t -> t.key().equals(key)).isEmpty()) {
                return;
            }
            lost = call.get();
            if (headAlone) {
                brokenOff(context.clock().now());
            }
        }
        lost.cancel("its group has lost a member");
    }

    private String id() {
        return String.valueOf(request.getHeaders().get(context.headerNames().requestId()));
    }

    private void finished(String outcome, String why, int sentStatus, Moment now) {
        wholeBody.clear();
        context.finished(this, outcome);
        Optional<TargetPool> pool = admission.pool();
        Object[] inputs = {
            "request", id(),
            "status", sentStatus,
            "route", admission.route().map(Route::name).orElse(""),
            "service", pool.map(TargetPool::service).orElse(""),
            "model", pool.map(TargetPool::model).orElse(""),
            "target", target.map(Target::key).orElse(""),
            "server", target.map(t -> t.server().id().value()).orElse(""),
            "runs", runs,
            "tried", tried.size(),
            "waitedMs", waitedMillis,
            "totalMs", now.monotonicMillisSince(receivedAt),
            "version", context.fleet().version(),
            "versionAgeMs",
                    context.fleet()
                            .configurationAge(now)
                            .map(Duration::toMillis)
                            .orElse(-1L)
        };
        context.log().write(outcome, why, inputs);
    }
}
