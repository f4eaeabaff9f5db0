package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.Optional;
import org.baobabspindle.core.dispatch.BatchModel;
import org.baobabspindle.core.dispatch.Target;
import org.baobabspindle.core.dispatch.TargetPool;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.port.ForwardingHeaders;
import org.baobabspindle.port.ResponseHead;
import org.eclipse.jetty.http.HttpFields;

/** The target that the dispatcher assigned to a request; its slot is free again when the call has ended. */
final class ServerDestination implements Destination {
    private final GatewayContext context;
    private final Ticket.AssignedTarget assigned;
    private final Target target;
    private final TargetPool pool;
    private final boolean streaming;
    private Optional<Moment> sentAt = Optional.empty();
    private boolean promptRead;

    ServerDestination(GatewayContext context, Ticket.AssignedTarget assigned, CallerAdmission admission) {
        this.context = context;
        this.assigned = assigned;
        this.target = assigned.target();
        this.pool = admission.pool().orElseThrow();
        this.streaming = admission.streaming();
    }

    @Override
    public String key() {
        return target.key();
    }

    @Override
    public String host() {
        return target.server().host();
    }

    @Override
    public int port() {
        return target.server().port();
    }

    @Override
    public Optional<BackendServer> server() {
        return Optional.of(target.server());
    }

    @Override
    public void setHeaders(HttpFields.Mutable to, HttpFields caller, BackendCall.GatewayHeaders values) {
        ForwardingHeaders names = context.headerNames();
        to.put(names.expectedInstance(), target.server().id().value());
        if (!values.account().isEmpty()) {
            to.put(names.account(), values.account());
        }
        if (values.priority() >= 0) {
            to.put(names.priority(), String.valueOf(values.priority()));
        }
    }

    @Override
    public boolean headReceived(int status, HttpFields headers, Attribution attribution, boolean named, Moment now) {
        ForwardingHeaders names = context.headerNames();
        context.notices().responseReceived(target.server(), ResponseHead.of(status, headers, names));
        boolean refusal = headers.contains(names.notRun()) || status == 421;
        if (named && refusal && headers.get(names.requestId()) == null) {
            context.unnamedRefusals().record(target.server().lifetime(), now);
        }
        return attribution == Attribution.NAMED || (attribution != Attribution.FOREIGN && (refusal || !named));
    }

    @Override
    public boolean mayReceive(Moment now) {
        boolean allowed = context.dispatcher().maySend(target, now);
        if (!allowed) {
            context.log()
                    .write(
                            "evacuation",
                            "request not sent: the zone is evacuated, or may be after a pause",
                            "target",
                            target.key());
        }
        return allowed;
    }

    @Override
    public void sent(Moment now) {
        sentAt = Optional.of(now);
        context.fleet().evacuations().requestSent(target.server().zone());
        context.dispatcher().sent(target, streaming, now);
    }

    @Override
    public void bytesReceived(Moment now) {
        context.quarantine().answerReceived(target.server(), now);
    }

    @Override
    public void eventReceived(Optional<Duration> interval, Moment now) {
        context.dispatcher().eventReceived(target, interval, now);
        if (interval.isEmpty()) {
            promptRead(Optional.of(now));
        }
    }

    /**
     * The server has read the prompt, or ended the request without a first event.
     *
     * @param firstEventAt when the first event was received, if it was
     */
    private synchronized void promptRead(Optional<Moment> firstEventAt) {
        if (promptRead) {
            return;
        }
        promptRead = true;
        context.dispatcher().promptRead(assigned);
        if (firstEventAt.isPresent() && sentAt.isPresent()) {
            double millis = firstEventAt.get().since(sentAt.get()).toNanos() / 1e6;
            assigned.predicted().ifPresent(p -> context.firstEventPredicted(p.firstEventMillis(), millis));
        }
    }

    @Override
    public Optional<BatchModel.Prediction> predicted() {
        return assigned.predicted();
    }

    @Override
    public void ended(boolean started, Dispatcher.CallResult callResult, Moment now) {
        Dispatcher.CallResult result = resultForTarget(callResult);
        if (result == Dispatcher.CallResult.SUCCEEDED) {
            sentAt.ifPresent(
                    at -> context.dispatcher().requestServed(pool, Duration.ofMillis(now.monotonicMillisSince(at))));
        }
        if (sentAt.isPresent()) {
            context.fleet().evacuations().requestEnded(target.server().zone());
        }
        promptRead(Optional.empty());
        context.dispatcher().ended(pool, target, streaming && sentAt.isPresent(), started, result, now);
    }

    /** An engine also answers as another instance while it is not the head of its group, which shows that it responds. */
    private Dispatcher.CallResult resultForTarget(Dispatcher.CallResult result) {
        return result == Dispatcher.CallResult.OTHER_INSTANCE && target.group().isPresent()
                ? Dispatcher.CallResult.SUCCEEDED
                : result;
    }
}
