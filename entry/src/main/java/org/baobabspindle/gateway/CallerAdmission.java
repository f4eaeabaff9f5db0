package org.baobabspindle.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.baobabspindle.core.crash.SuspectRequest;
import org.baobabspindle.core.dispatch.BatchModel;
import org.baobabspindle.core.dispatch.EnginePriority;
import org.baobabspindle.core.dispatch.PromptRequest;
import org.baobabspindle.core.dispatch.RequestQueue;
import org.baobabspindle.core.dispatch.TargetPool;
import org.baobabspindle.core.dispatch.WaitingPolicy;
import org.baobabspindle.core.fleet.AccountPolicy;
import org.baobabspindle.core.fleet.BatchParameters;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.fleet.FleetConfiguration;
import org.baobabspindle.core.fleet.FleetService;
import org.baobabspindle.core.fleet.Route;
import org.baobabspindle.core.id.PromptPart;
import org.baobabspindle.core.id.RequestFingerprint;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.http.Hashes;
import org.eclipse.jetty.server.Request;

/** Decides whether a request may be served, by its route, its API key, and whether it can be served in time. */
final class CallerAdmission {
    /** The timeout of a request until its route is known. */
    private static final Duration UNROUTED_TIMEOUT = Duration.ofMinutes(1);

    /** Hexadecimal digits of a fingerprint; 16 digits make a collision between two requests of a day negligible. */
    private static final int FINGERPRINT_DIGITS = 16;

    private final GatewayContext context;
    private final Request request;
    private final Moment receivedAt;
    private final String apiKey;
    private final Optional<RelayMark> mark;
    private final List<PromptPart> sharedParts;

    /** The limit in force when the caller began to send the body, in bytes. */
    private final long maxBodyBytesAtArrival;

    private Optional<Route> route;
    private Optional<AccountPolicy> account = Optional.empty();
    private Optional<TargetPool> pool = Optional.empty();
    private Moment deadline;
    private SegmentedBytes body = SegmentedBytes.EMPTY;
    private Moment readAt;
    private Optional<Duration> retryAfter = Optional.empty();

    CallerAdmission(GatewayContext context, Request request, Moment receivedAt) {
        this.context = context;
        this.request = request;
        this.receivedAt = receivedAt;
        this.readAt = receivedAt;
        String key = request.getHeaders().get(context.headerNames().apiKey());
        this.apiKey = key == null ? "" : key;
        this.mark = context.relay()
                .mark(
                        request.getHeaders(),
                        request.getHeaders().get(context.headerNames().requestId()));
        this.sharedParts = PromptPart.sharedParts(
                request.getHeaders().get(context.headerNames().promptParts()));
        Optional<FleetConfiguration> configuration = context.fleet().configuration();
        this.maxBodyBytesAtArrival =
                configuration.map(c -> c.limits().maxBodyBytes()).orElse(0L);
        this.route = configuration.flatMap(this::findRoute);
        this.deadline = receivedAt.plus(route.map(this::timeout).orElse(UNROUTED_TIMEOUT));
    }

    private Optional<Route> findRoute(FleetConfiguration configuration) {
        return configuration.route(
                Request.getServerName(request), request.getHttpURI().getPath());
    }

    /**
     * Checks a request, except whether a backend server can take it; returns why it is refused, or empty if it is
     * admitted.
     *
     * @param content the whole body of the request
     */
    Optional<Refusal> check(SegmentedBytes content, Moment now) {
        body = content;
        readAt = now;
        Optional<FleetConfiguration> known = context.fleet().configuration();
        if (known.isEmpty()) {
            return Optional.of(Refusal.NOT_CONFIGURED);
        }
        FleetConfiguration configuration = known.get();
        if (mark.filter(m -> m.version() > configuration.version()).isPresent()) {
            return Optional.of(Refusal.CONFIGURATION_STALE);
        }
        route = findRoute(configuration);
        if (route.isEmpty()) {
            return Optional.of(denial(Refusal.NO_ROUTE, now));
        }
        // The entry that the caller has reached has compared the body of a relayed request with its limit.
        if (mark.isEmpty()
                && body.size()
                        > Math.max(maxBodyBytesAtArrival, configuration.limits().maxBodyBytes())) {
            return Optional.of(denial(Refusal.TOO_LARGE, now));
        }
        account = configuration.account(apiKey);
        Optional<Refusal> refusal = checkKey(configuration, now);
        if (refusal.isPresent()) {
            return refusal;
        }
        deadline = receivedAt.plus(timeout(route.get()));
        pool = Optional.of(choosePool(configuration, route.get()));
        return context.stopping().refusesNewRequests(streaming(), now)
                ? Optional.of(Refusal.STOPPING)
                : Optional.empty();
    }

    /** Checks whether this entry may send an admitted request, and can send it in time. */
    Optional<Refusal> checkDispatch(Moment now) {
        if (context.fleet().isBehindCallers()) {
            return Optional.of(Refusal.CONFIGURATION_STALE);
        }
        Optional<Refusal> refusal = checkQuarantine(now);
        if (refusal.isPresent()) {
            return refusal;
        }
        if (isRetry()) {
            return Optional.empty();
        }
        Duration wait = context.dispatcher()
                .predictedWait(pool.orElseThrow(), priority(), context.dispatchingEntryCount(now), now);
        boolean tooLate = !now.plus(wait).isBefore(waitLimits().giveUpAt());
        return tooLate ? Optional.of(Refusal.NO_CAPACITY) : Optional.empty();
    }

    /** Checks the API key against the current configuration. */
    Optional<Refusal> checkKey(Moment now) {
        return checkKey(context.fleet().configuration().orElseThrow(), now);
    }

    private Optional<Refusal> checkKey(FleetConfiguration configuration, Moment now) {
        if (!configuration.keysRequired() || route.orElseThrow().publicAccess()) {
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

    /** Refuses the request if it is quarantined for crashing servers, in any attempt and at any entry. */
    Optional<Refusal> checkQuarantine(Moment now) {
        return refuseQuarantined(context.quarantine().quarantinedFor(this::suspect, now));
    }

    /**
     * Repeats the checks whose outcome may have changed while the request waited. If they pass, the request counts as
     * sent.
     *
     * @param begun whether the request may have begun to run
     */
    Optional<Refusal> checkBeforeSend(boolean begun, Moment now) {
        return checkKeyBeforeSend(begun, now)
                .or(() -> refuseQuarantined(context.quarantine().trySend(this::suspect, now)));
    }

    /**
     * Checks the API key again, unless the request may have begun to run, and finds the account that holds it now. A
     * request that may have begun is completed for its account even if its key has been removed meanwhile, as it is while
     * its server does not fail.
     *
     * @param begun whether the request may have begun to run
     */
    Optional<Refusal> checkKeyBeforeSend(boolean begun, Moment now) {
        if (begun) {
            return Optional.empty();
        }
        FleetConfiguration configuration = context.fleet().configuration().orElseThrow();
        account = configuration.account(apiKey);
        return checkKey(configuration, now);
    }

    private Optional<Refusal> refuseQuarantined(Optional<Duration> time) {
        retryAfter = time;
        return time.map(t -> Refusal.CRASHES_SERVERS);
    }

    /** Returns the time after which the caller may retry; empty if it is unknown. */
    Optional<Duration> retryAfter() {
        return retryAfter;
    }

    /**
     * Returns a permanent refusal only if the configuration is known to be recent, and no newer one has been shown to
     * callers; a newer one may allow the request.
     */
    private Refusal denial(Refusal refusal, Moment now) {
        boolean recent = context.fleet()
                .configurationAge(now)
                .filter(a -> a.compareTo(context.maxDenialAge()) <= 0)
                .isPresent();
        return recent && !context.fleet().isBehindCallers() ? refusal : Refusal.CONFIGURATION_STALE;
    }

    private Duration timeout(Route r) {
        long requested = requestedMillis();
        Duration timeout = r.timeout();
        return requested > 0 && requested < timeout.toMillis() ? Duration.ofMillis(requested) : timeout;
    }

    /** Returns the time that the caller states to be left; not positive if it states none or a malformed one. */
    private long requestedMillis() {
        try {
            return request.getHeaders().getLongField(context.headerNames().remainingMillis());
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private TargetPool choosePool(FleetConfiguration configuration, Route r) {
        String service = r.pickService(context.random());
        boolean engines =
                configuration.service(service).flatMap(s -> s.engine()).isPresent();
        String model = request.getHeaders().get(context.headerNames().model());
        return new TargetPool(service, engines && model != null ? model : "");
    }

    Optional<Route> route() {
        return route;
    }

    /** Returns the id that the request bears, as it is logged. */
    String requestId() {
        return String.valueOf(request.getHeaders().get(context.headerNames().requestId()));
    }

    /** Returns whether another entry relays the request. */
    boolean relayed() {
        return mark.isPresent();
    }

    /** Returns whether the entry that relays the request has already sent it to a backend server. */
    private boolean isRetry() {
        return mark.filter(m -> m.stage() != RelayMark.Stage.NEW).isPresent();
    }

    /** Returns the number of backend servers that may run the request. */
    int maxAttempts() {
        int allowed = route.orElseThrow().maxAttempts();
        return mark.map(m -> Math.min(m.attempts(), allowed)).orElse(allowed);
    }

    Optional<TargetPool> pool() {
        return pool;
    }

    /** Returns the time by which the final response is due. */
    Moment deadline() {
        return deadline;
    }

    boolean streaming() {
        return route.isPresent() && route.get().kind().streaming();
    }

    /** Returns whether the caller has received the first events of the stream in an earlier attempt. */
    boolean resumesStream() {
        return request.getHeaders().contains(context.headerNames().lastEventId());
    }

    /** Returns the last event that the caller has received in an earlier attempt; -1 if the response begins anew. */
    long lastEventOfCaller() {
        return route().filter(r -> r.repeatable())
                .map(r -> request.getHeaders().get(context.headerNames().lastEventId()))
                .map(EventSplitter::number)
                .orElse(OptionalLong.empty())
                .orElse(-1);
    }

    /** Returns the account that held the API key when it was last checked; the same once the request may have run. */
    Optional<AccountPolicy> account() {
        return account;
    }

    /**
     * Returns the connection for a call. On a connection that has carried other calls only the id shows what a refusal
     * refers to, and a request that must not be repeated is lost if its refusal is in doubt.
     */
    BackendCall.ConnectionUse connectionUse(Destination to, Moment now) {
        boolean named = request.getHeaders().contains(context.headerNames().requestId());
        boolean refusalsNamed = to.server()
                .filter(s -> context.unnamedRefusals().isExpected(s.lifetime(), now))
                .isEmpty();
        return named && refusalsNamed && route().orElseThrow().repeatable()
                ? BackendCall.ConnectionUse.SHARED
                : BackendCall.ConnectionUse.SINGLE;
    }

    /**
     * Returns the values of the headers of a call.
     *
     * @param lastEventId the last event written to the caller; -1 if there is none
     * @param predicted the predicted effect of the request at its target, if it is placed by prompt tokens
     */
    BackendCall.GatewayHeaders gatewayHeaders(long lastEventId, Optional<BatchModel.Prediction> predicted, Moment now) {
        String requested = request.getHeaders().get(context.headerNames().lastEventId());
        String lastEvent = lastEventId >= 0 ? String.valueOf(lastEventId) : requested == null ? "" : requested;
        return new BackendCall.GatewayHeaders(
                Math.max(1, deadline.monotonicMillisSince(now)),
                account().map(a -> a.account().value()).orElse(""),
                predicted
                        .flatMap(p -> batch().map(b -> enginePriority(p, b, lastEventId >= 0, now)))
                        .orElse(-1),
                lastEvent);
    }

    private int enginePriority(BatchModel.Prediction predicted, BatchParameters batch, boolean begun, Moment now) {
        if (begun) {
            return 0;
        }
        double elapsed = now.since(receivedAt).toNanos() / 1e6;
        return EnginePriority.of(
                priority(),
                promptTokens(batch) > batch.chunkTokens(),
                elapsed + predicted.firstEventMillis(),
                Math.max(1, route.orElseThrow().targetLatency().toNanos() / 1e6));
    }

    /**
     * Returns the prompt and the targets of the request; empty if it is not placed by prompt tokens, because the
     * configuration does not state the parameters of the batch or the targets.
     */
    Optional<PromptRequest> prompt() {
        Route r = route.orElseThrow();
        if (!r.kind().streaming()
                || r.targetGap().isZero()
                || r.targetGap().isNegative()
                || r.targetLatency().isZero()
                || r.targetLatency().isNegative()) {
            return Optional.empty();
        }
        return batch().map(b -> new PromptRequest(
                promptTokens(b), r.targetLatency(), receivedAt.plus(r.targetLatency()), r.targetGap()));
    }

    private Optional<BatchParameters> batch() {
        return context.fleet()
                .configuration()
                .flatMap(c -> c.service(pool.orElseThrow().service()))
                .flatMap(FleetService::engine)
                .flatMap(EngineProfile::batch);
    }

    private long promptTokens(BatchParameters batch) {
        return PromptRequest.promptTokens(
                request.getHeaders().get(context.headerNames().tokenCount()), batch);
    }

    /** Returns the request by what may make it crash a server. */
    SuspectRequest suspect() {
        return new SuspectRequest(fingerprint(), sharedParts());
    }

    /** Returns the fingerprint of account, method, path and body, which all attempts of a request share. */
    private RequestFingerprint fingerprint() {
        String account = account().map(a -> a.account().value()).orElse("");
        String head = account
                + '\n'
                + request.getMethod()
                + ' '
                + request.getHttpURI().getPathQuery()
                + '\n';
        List<ByteBuffer> content = new ArrayList<>();
        content.add(StandardCharsets.UTF_8.encode(head));
        content.addAll(body.buffers());
        return RequestFingerprint.of(Hashes.sha256(content).substring(0, FINGERPRINT_DIGITS));
    }

    /** Returns the parts of the prompt that other requests may share; empty if the request names none. */
    List<PromptPart> sharedParts() {
        return sharedParts;
    }

    /** Returns the priority of the account if it has one, else that of the route; 0 is served first. */
    int priority() {
        if (mark.filter(m -> m.stage() == RelayMark.Stage.CONTINUED).isPresent()) {
            return 0;
        }
        return account.isPresent() && account.get().priority().isPresent()
                ? account.get().priority().getAsInt()
                : route.orElseThrow().priority();
    }

    /** Returns the wait limits of a request, which waits from the moment when its body was read. */
    RequestQueue.WaitLimits waitLimits() {
        if (isRetry()) {
            return retryWaitLimits(readAt);
        }
        Duration latencyLeft = route.orElseThrow().targetLatency().minus(readAt.since(receivedAt));
        Duration timeLeft = Duration.ofMillis(deadline.monotonicMillisSince(readAt));
        return WaitingPolicy.waitLimits(readAt, latencyLeft, timeLeft);
    }

    /**
     * Returns the wait limits of a retry: half of the time left until the deadline, since work has already been spent
     * on the request.
     */
    RequestQueue.WaitLimits retryWaitLimits(Moment now) {
        Moment until = now.plus(Duration.ofMillis(Math.max(0, deadline.monotonicMillisSince(now) / 2)));
        return new RequestQueue.WaitLimits(until, until);
    }
}
