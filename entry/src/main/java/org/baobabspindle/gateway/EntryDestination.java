package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.Optional;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.peer.PeerSecret;
import org.eclipse.jetty.http.HttpFields;

/** Another entry, which dispatches a relayed request like one of its own callers. */
final class EntryDestination implements Destination {
    private final GatewayContext context;
    private final EntryAnnouncement entry;
    private final RelayMark mark;

    EntryDestination(GatewayContext context, EntryAnnouncement entry, RelayMark mark) {
        this.context = context;
        this.entry = entry;
        this.mark = mark;
    }

    @Override
    public String key() {
        return "entry " + id();
    }

    InstanceId id() {
        return entry.entry().instance();
    }

    /** Returns the number of backend servers that may run the request. */
    int attempts() {
        return mark.attempts();
    }

    @Override
    public Optional<EntryDestination> entry() {
        return Optional.of(this);
    }

    @Override
    public String host() {
        return entry.host();
    }

    @Override
    public int port() {
        return entry.callerPort();
    }

    @Override
    public void setHeaders(HttpFields.Mutable to, HttpFields caller, BackendCall.GatewayHeaders values) {
        String apiKey = caller.get(context.headerNames().apiKey());
        if (apiKey != null) {
            to.put(context.headerNames().apiKey(), apiKey);
        }
        String requestId = caller.get(context.headerNames().requestId());
        to.put(RelayMark.HEADER, mark.format(requestId, new PeerSecret(entry.secret())));
    }

    @Override
    public boolean headReceived(int status, HttpFields headers, Attribution attribution, boolean named, Moment now) {
        boolean refusal = RelayMark.refusal(headers).isPresent();
        boolean belongs =
                attribution == Attribution.NAMED || (attribution != Attribution.FOREIGN && (refusal || !named));
        if (belongs) {
            RelayMark.version(headers).ifPresent(v -> context.relay().versionShown(id(), v, now));
        }
        return belongs;
    }

    /** Entries frame all responses; builds before that sent streams without framing, also those that were cut. */
    @Override
    public boolean mayEndWithConnection() {
        return false;
    }

    @Override
    public void sent(Moment now) {
        context.relay().sent(id());
    }

    @Override
    public void bytesReceived(Moment now) {
        // Bytes from another entry say nothing about the links of this one.
    }

    @Override
    public void eventReceived(Optional<Duration> interval, Moment now) {
        // The pace of the backend server is measured by the entry that calls it.
    }

    @Override
    public void ended(boolean started, Dispatcher.CallResult result, Moment now) {
        context.relay().ended(id());
    }
}
