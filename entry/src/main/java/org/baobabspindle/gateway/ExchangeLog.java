package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.Optional;
import org.baobabspindle.core.dispatch.PromptRequest;
import org.baobabspindle.core.dispatch.TargetPool;
import org.baobabspindle.core.fleet.Route;
import org.baobabspindle.core.time.Moment;

/** Logs the decisions on one request. */
final class ExchangeLog {
    private final GatewayContext context;
    private final CallerAdmission admission;
    private final RequestProgress progress;
    private final String requestId;
    private final Moment receivedAt;
    private final long versionAtArrival;

    ExchangeLog(
            GatewayContext context,
            CallerAdmission admission,
            RequestProgress progress,
            String requestId,
            Moment receivedAt) {
        this.context = context;
        this.admission = admission;
        this.progress = progress;
        this.requestId = requestId;
        this.receivedAt = receivedAt;
        this.versionAtArrival = context.fleet().version();
    }

    /** Logs that the response of a server is cancelled. */
    void broken(String reason, Destination from) {
        context.log().write("broken", reason, "request", requestId, "server", from.key());
    }

    void silent(String target) {
        context.log().write("silent", "request waits for its server", "request", requestId, "target", target);
    }

    void relayed(String reason, EntryDestination to) {
        context.log().write("relay", reason, "request", requestId, "entry", to.id(), "attempts", to.attempts());
    }

    /**
     * Logs that the request is sent again.
     *
     * @param after the destination of the last call
     * @param answer the response to the last call
     */
    void retry(String reason, Optional<Destination> after, CallAnswer answer, long lastEventId) {
        context.log()
                .write(
                        "retry",
                        reason,
                        "request",
                        requestId,
                        "after",
                        after.map(Destination::key).orElse(""),
                        "runs",
                        progress.attempts(),
                        "answerStatus",
                        answer.status(),
                        "attribution",
                        answer.head().attribution(),
                        "connectionCalls",
                        answer.head().connectionCalls(),
                        "lastEvent",
                        lastEventId,
                        "entries",
                        context.entryCount());
    }

    /** Logs the target to which the request is sent, if it was chosen by prompt tokens. */
    void placed(Destination to, long waitedMillis) {
        to.predicted().ifPresent(p -> context.log()
                .write(
                        "placed",
                        "chosen by prompt tokens",
                        "request",
                        requestId,
                        "target",
                        to.key(),
                        "promptTokens",
                        admission.prompt().map(PromptRequest::promptTokens).orElse(0L),
                        "predictedFirstEventMs",
                        Math.round(p.firstEventMillis()),
                        "predictedPauseMs",
                        Math.round(p.pauseMillis()),
                        "streams",
                        p.streams(),
                        "waitedMs",
                        waitedMillis));
    }

    /**
     * Logs how the request ended.
     *
     * @param status the status that was sent to the caller
     * @param last the destination of the last call
     * @param answer the response to the last call
     * @param response the response to the caller
     */
    void outcome(
            String outcome,
            String reason,
            int status,
            Optional<Destination> last,
            CallAnswer answer,
            CallerResponse response,
            long waitedMillis,
            Moment now) {
        Optional<TargetPool> pool = admission.pool();
        Object[] inputs = {
            "request", requestId,
            "status", status,
            "route", admission.route().map(Route::name).orElse(""),
            "service", pool.map(TargetPool::service).orElse(""),
            "model", pool.map(TargetPool::model).orElse(""),
            "parts", admission.sharedParts(),
            "target", last.map(Destination::key).orElse(""),
            "server", last.flatMap(Destination::server).map(s -> s.id().value()).orElse(""),
            "relayed", admission.relayed(),
            "runs", progress.attempts(),
            "tried", progress.triedTargets().size(),
            "waitedMs", waitedMillis,
            "answerStatus", answer.status(),
            "attribution", answer.head().attribution(),
            "connectionCalls", answer.head().connectionCalls(),
            "answerFraming", answer.status() == 0 ? "" : answer.framing(),
            "answerEnd", answer.end().map(BackendCall.End::name).orElse(""),
            "lastEvent", response.lastEventId(),
            "callerVersion", response.callerVersion(),
            "closesConnection", response.closesConnection(),
            "totalMs", now.monotonicMillisSince(receivedAt),
            "silentMs", answer.silence(now).map(Duration::toMillis).orElse(-1L),
            "versionAtArrival", versionAtArrival,
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
