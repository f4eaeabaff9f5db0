package org.baobabspindle.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.baobabspindle.core.dispatch.Target;
import org.baobabspindle.core.dispatch.TargetPool;
import org.baobabspindle.core.dispatch.WaitingLine;
import org.baobabspindle.core.dispatch.WaitingPolicy;
import org.baobabspindle.core.fleet.AccountPolicy;
import org.baobabspindle.core.fleet.FleetConfiguration;
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
    private final Response response;
    private final Moment receivedAt;
    private final CallerStream out;
    private final Set<String> tried = new HashSet<>();
    private final ByteArrayOutputStream wholeBody = new ByteArrayOutputStream();

    private byte[] body = new byte[0];
    private Optional<Route> route = Optional.empty();
    private String apiKey = "";
    private TargetPool pool;
    private Moment deadline;
    private Optional<Dispatcher.Ticket> ticket = Optional.empty();
    private Optional<BackendCall> call = Optional.empty();
    private Optional<Target> target = Optional.empty();
    private EventSplitter splitter = new EventSplitter();

    // What the caller gets: the status and headers of the first call whose answer was passed on.
    private int status;
    private HttpFields answerHeaders = HttpFields.EMPTY;
    private boolean committed;

    // What the present call answers; a later call of a stream differs in its headers.
    private int callStatus;
    private HttpFields callHeaders = HttpFields.EMPTY;
    private boolean callStarted;

    private boolean over;
    private boolean mayHaveRun;
    private int runs;
    private int refusals;
    private long lastEventId = -1;
    private long waitedMillis;
    private Moment waitingSince;
    private Moment sentAt;

    CallerExchange(GatewayContext context, Request request, Response response, Callback callback, Moment now) {
        this.context = context;
        this.request = request;
        this.response = response;
        this.receivedAt = now;
        this.waitingSince = now;
        this.deadline = now.plus(Duration.ofMinutes(1));
        this.out = new CallerStream(response, callback, this::callerGone);
    }

    /** Judges the request, whose body has been read, and looks for a target. */
    void begin(byte[] content, Moment now) {
        synchronized (this) {
            body = content;
            Optional<Refusal> refusal = judge(now);
            if (pool != null) {
                context.dispatcher().requested(pool, now);
            }
            if (refusal.isPresent()) {
                refuse(refusal.get(), "", now);
                return;
            }
        }
        seek(now);
    }

    private Optional<Refusal> judge(Moment now) {
        if (context.fleet().configuration().isEmpty()) {
            return Optional.of(Refusal.NOT_CONFIGURED);
        }
        FleetConfiguration configuration = context.fleet().configuration().get();
        String host = Request.getServerName(request);
        route = configuration.route(host, request.getHttpURI().getPath());
        if (route.isEmpty()) {
            return Optional.of(denial(Refusal.NO_ROUTE, now));
        }
        if (body.length > configuration.limits().maxBodyBytes()) {
            return Optional.of(Refusal.TOO_LARGE);
        }
        String key = request.getHeaders().get(context.names().apiKey());
        apiKey = key == null ? "" : key;
        Optional<Refusal> refusal = judgeKey(configuration, now);
        if (refusal.isPresent()) {
            return refusal;
        }
        deadline = receivedAt.plus(timeAllowed(route.get()));
        pool = pool(configuration, route.get());
        if (context.stopping().refusesNew(streaming(), now)) {
            return Optional.of(Refusal.STOPPING);
        }
        Duration wait = context.dispatcher().predictedWait(pool, context.entries(), now);
        boolean inVain = !now.plus(wait).isBefore(patience().late());
        return inVain ? Optional.of(Refusal.NO_CAPACITY) : Optional.empty();
    }

    private Optional<Refusal> judgeKey(FleetConfiguration configuration, Moment now) {
        if (!keyNeeded(configuration)) {
            return Optional.empty();
        }
        Optional<Duration> age = context.fleet().configurationAge(now);
        if (age.isEmpty() || age.get().compareTo(context.keyLifetime()) > 0) {
            return Optional.of(Refusal.KEYS_UNPROVEN);
        }
        return configuration.account(apiKey).isEmpty()
                ? Optional.of(denial(Refusal.UNKNOWN_KEY, now))
                : Optional.empty();
    }

    /** Says a final no only while the configuration is known to be recent; a newer one may allow the request. */
    private Refusal denial(Refusal refusal, Moment now) {
        boolean recent = context.fleet()
                .configurationAge(now)
                .filter(a -> a.compareTo(GatewayContext.DENIAL_AGE) <= 0)
                .isPresent();
        return recent ? refusal : Refusal.CONFIGURATION_STALE;
    }

    private boolean keyNeeded(FleetConfiguration configuration) {
        return configuration.keysRequired() && !route.orElseThrow().publicAccess();
    }

    private Duration timeAllowed(Route r) {
        long stated = request.getHeaders().getLongField(context.names().timeLeft());
        Duration timeout = r.timeout();
        return stated > 0 && stated < timeout.toMillis() ? Duration.ofMillis(stated) : timeout;
    }

    private TargetPool pool(FleetConfiguration configuration, Route r) {
        String service = r.pickService(context.random());
        boolean engines =
                configuration.service(service).flatMap(s -> s.engine()).isPresent();
        String model = request.getHeaders().get(context.names().model());
        return new TargetPool(service, engines && model != null ? model : "");
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
                    pool,
                    committed ? 0 : priority(),
                    runs + refusals > 0 ? retryPatience(now) : patience(),
                    tried,
                    this::run,
                    this::waitedInVain);
            ticket = Optional.of(t);
        }
        context.dispatcher().submit(t, now);
    }

    private WaitingLine.Patience patience() {
        Route r = route.orElseThrow();
        return WaitingPolicy.patience(receivedAt, r.targetLatency(), timeAllowed(r));
    }

    /** A request that goes on elsewhere has been paid for in part; it waits for half of the time it has left. */
    private WaitingLine.Patience retryPatience(Moment now) {
        Moment until = now.plus(Duration.ofMillis(Math.max(0, deadline.steadyMillisSince(now) / 2)));
        return new WaitingLine.Patience(until, until);
    }

    private int priority() {
        return account()
                .flatMap(
                        a -> a.priority().isPresent() ? Optional.of(a.priority().getAsInt()) : Optional.empty())
                .orElse(route.orElseThrow().priority());
    }

    private Optional<AccountPolicy> account() {
        return context.fleet().configuration().flatMap(c -> c.account(apiKey));
    }

    /** Sends the request to a target; what could have changed while it waited is checked again. */
    private void run(Target t) {
        Moment now = context.clock().now();
        BackendCall next;
        synchronized (this) {
            ticket = Optional.empty();
            waitedMillis += now.steadyMillisSince(waitingSince);
            Optional<Refusal> refusal = over ? Optional.of(Refusal.NOT_RUN) : recheck(now);
            if (refusal.isPresent()) {
                context.dispatcher().ended(pool, t, false, false, Dispatcher.Verdict.NEUTRAL, now);
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
            next = new BackendCall(context.client(), t, message(), stamped(now), context.names(), this);
            call = Optional.of(next);
        }
        context.dispatcher().sent(t, streaming(), now);
        next.send();
    }

    private Optional<Refusal> recheck(Moment now) {
        FleetConfiguration configuration = context.fleet().configuration().orElseThrow();
        if (!now.isBefore(deadline)) {
            return Optional.of(mayHaveRun ? Refusal.TIMED_OUT : Refusal.NO_CAPACITY);
        }
        return judgeKey(configuration, now);
    }

    private BackendCall.Message message() {
        return new BackendCall.Message(
                request.getMethod(),
                request.getHttpURI().getPathQuery(),
                request.getHeaders().get("Host"),
                request.getHeaders(),
                ByteBuffer.wrap(body));
    }

    private BackendCall.Stamped stamped(Moment now) {
        String stated = request.getHeaders().get(context.names().lastEventId());
        String lastEvent = lastEventId >= 0 ? String.valueOf(lastEventId) : stated == null ? "" : stated;
        return new BackendCall.Stamped(
                Math.max(1, deadline.steadyMillisSince(now)),
                account().map(a -> a.account().value()).orElse(""),
                -1,
                lastEvent);
    }

    private boolean streaming() {
        return route.isPresent() && route.get().kind().streaming();
    }

    @Override
    public void headers(BackendCall from, int newStatus, HttpFields headers) {
        synchronized (this) {
            if (stale(from)) {
                return;
            }
            callStatus = newStatus;
            callHeaders = headers;
            if (!committed) {
                status = newStatus;
                answerHeaders = headers;
            }
            wholeBody.reset();
        }
    }

    private boolean stale(BackendCall from) {
        return over || !call.equals(Optional.of(from));
    }

    @Override
    public void content(BackendCall from, ByteBuffer bytes) {
        Moment now = context.clock().now();
        synchronized (this) {
            if (stale(from)) {
                return;
            }
            if (!streaming() || callStatus != 200) {
                byte[] piece = new byte[bytes.remaining()];
                bytes.get(piece);
                wholeBody.writeBytes(piece);
                return;
            }
            for (EventSplitter.Event e : splitter.split(bytes)) {
                context.dispatcher().event(target.orElseThrow(), !callStarted, now);
                callStarted = true;
                if (!forward(e)) {
                    from.cancel("events are missing");
                    return;
                }
            }
        }
    }

    /** Writes an event unless the caller has it; returns false if events before it are missing. */
    private boolean forward(EventSplitter.Event e) {
        if (e.id().isPresent()) {
            long id = e.id().getAsLong();
            if (committed && id <= lastEventId) {
                return true;
            }
            if (committed && lastEventId >= 0 && id > lastEventId + 1) {
                return false;
            }
            lastEventId = id;
        }
        if (!committed) {
            commit();
        }
        out.write(e.bytes());
        return true;
    }

    private void commit() {
        committed = true;
        response.setStatus(status);
        copyHeaders();
    }

    private void copyHeaders() {
        AnswerHeaders.copy(answerHeaders, response.getHeaders());
        if (context.stopping().begun()) {
            response.getHeaders().put("Connection", "close");
        }
    }

    @Override
    public void ended(BackendCall from, BackendCall.End end, String detail) {
        Moment now = context.clock().now();
        Next next;
        Target t;
        boolean started;
        Dispatcher.Verdict verdict;
        synchronized (this) {
            if (!call.equals(Optional.of(from))) {
                return;
            }
            call = Optional.empty();
            t = target.orElseThrow();
            started = callStarted;
            verdict = verdict(end);
            next = over ? Next.NOTHING : next(end, detail, now);
        }
        if (verdict == Dispatcher.Verdict.SOUND) {
            context.dispatcher().served(pool, Duration.ofMillis(now.steadyMillisSince(sentAt)));
        }
        context.dispatcher().ended(pool, t, streaming(), started, verdict, now);
        if (next == Next.SEEK) {
            seek(now);
        }
    }

    private enum Next {
        NOTHING,
        SEEK
    }

    private Dispatcher.Verdict verdict(BackendCall.End end) {
        if (over) {
            return Dispatcher.Verdict.NEUTRAL;
        }
        boolean sound = end == BackendCall.End.COMPLETE && callStatus < 500;
        return sound ? Dispatcher.Verdict.SOUND : Dispatcher.Verdict.FAILED;
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
            return answer(now);
        }
        String why = end == BackendCall.End.COMPLETE ? "status " + callStatus + " is not the whole answer" : detail;
        return route.orElseThrow().repeatable()
                ? again(Refusal.BROKEN, true, why, now)
                : giveUp(Refusal.BROKEN, why, now);
    }

    private boolean refusedByServer() {
        return callHeaders.contains(context.names().notRun()) || callStatus == 421;
    }

    private boolean answerable() {
        boolean stream = streaming() && callStatus == 200;
        boolean whole = stream ? !splitter.withinEvent() : !committed;
        return whole && callHeaders.contains(context.names().stamp());
    }

    /** Looks for another target if the request may still be sent, else gives up. */
    private Next again(Refusal otherwise, boolean budgeted, String why, Moment now) {
        boolean allowed = runs < route.orElseThrow().maxAttempts()
                && refusals < MAX_REFUSALS
                && now.isBefore(deadline)
                && (!budgeted || context.dispatcher().tryRetry(pool.service(), context.entries(), now));
        if (!allowed) {
            return giveUp(mayHaveRun ? Refusal.BROKEN : otherwise, why, now);
        }
        context.log()
                .write(
                        "retry",
                        why,
                        "request",
                        id(),
                        "after",
                        target.map(Target::key).orElse(""),
                        "runs",
                        runs,
                        "lastEvent",
                        lastEventId);
        return Next.SEEK;
    }

    private Next giveUp(Refusal refusal, String why, Moment now) {
        refuse(refusal, why, now);
        return Next.NOTHING;
    }

    private Next answer(Moment now) {
        boolean retryServerError = status >= 500
                && route.orElseThrow().repeatable()
                && !committed
                && runs < route.orElseThrow().maxAttempts()
                && now.isBefore(deadline)
                && context.dispatcher().tryRetry(pool.service(), context.entries(), now);
        if (retryServerError) {
            return Next.SEEK;
        }
        over = true;
        if (!committed) {
            commit();
            if (!streaming() || status != 200) {
                response.getHeaders().put("Content-Length", wholeBody.size());
                out.write(ByteBuffer.wrap(wholeBody.toByteArray()));
            }
        }
        out.finish();
        finished("answered", "", status, now);
        return Next.NOTHING;
    }

    /** Answers the request without a backend server's answer; a stream that has begun is cut visibly. */
    private void refuse(Refusal refusal, String why, Moment now) {
        if (over) {
            return;
        }
        over = true;
        withdraw();
        if (committed) {
            out.abort(why);
            finished("cut", refusal + ": " + why, status, now);
            return;
        }
        response.setStatus(refusal.status());
        if (refusal.mayReturn()) {
            response.getHeaders().put("Retry-After", context.retryAfter(refusal));
        }
        if (context.stopping().begun()) {
            response.getHeaders().put("Connection", "close");
        }
        response.getHeaders().put("Content-Length", 0L);
        out.finish();
        finished("refused", refusal + (why.isEmpty() ? "" : ": " + why), refusal.status(), now);
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
    void callerGone() {
        Moment now = context.clock().now();
        synchronized (this) {
            if (over) {
                return;
            }
            over = true;
            withdraw();
            finished("left", "the caller closed the connection", 0, now);
        }
        out.abort("the caller has left");
    }

    /** Looks after the request while nothing else happens: time and the caller's connection. */
    void tick(Moment now) {
        synchronized (this) {
            if (over) {
                return;
            }
            if (!now.isBefore(deadline)) {
                boolean sent = mayHaveRun || call.isPresent();
                refuse(sent ? Refusal.TIMED_OUT : Refusal.NO_CAPACITY, "its time is over", now);
                return;
            }
        }
        if (request.getConnectionMetaData().getConnection().getEndPoint() instanceof PeekingEndPoint p
                && p.closedByCaller()) {
            callerGone();
        }
    }

    /** Moves the request elsewhere if it runs at a target that serves no more. */
    void targetLost(String key) {
        BackendCall lost;
        synchronized (this) {
            if (over
                    || call.isEmpty()
                    || target.filter(t -> t.key().equals(key)).isEmpty()) {
                return;
            }
            lost = call.get();
        }
        lost.cancel("its group has lost a member");
    }

    private String id() {
        return String.valueOf(request.getHeaders().get(context.names().requestId()));
    }

    private void finished(String outcome, String why, int sentStatus, Moment now) {
        context.finished(this, outcome);
        context.log()
                .write(
                        outcome,
                        why,
                        "request",
                        id(),
                        "status",
                        sentStatus,
                        "route",
                        route.map(Route::name).orElse(""),
                        "service",
                        pool == null ? "" : pool.service(),
                        "model",
                        pool == null ? "" : pool.model(),
                        "target",
                        target.map(Target::key).orElse(""),
                        "server",
                        target.map(t -> t.server().id().value()).orElse(""),
                        "runs",
                        runs,
                        "tried",
                        tried.size(),
                        "waitedMs",
                        waitedMillis,
                        "totalMs",
                        now.steadyMillisSince(receivedAt),
                        "version",
                        context.fleet()
                                .configuration()
                                .map(FleetConfiguration::version)
                                .orElse(-1L),
                        "versionAgeMs",
                        context.fleet()
                                .configurationAge(now)
                                .map(Duration::toMillis)
                                .orElse(-1L));
    }
}
