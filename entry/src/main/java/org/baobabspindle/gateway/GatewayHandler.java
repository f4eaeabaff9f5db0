package org.baobabspindle.gateway;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.port.DirectoryFormat;
import org.baobabspindle.port.GatewaySettings;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Dispatches a request by the port that received it: forwarding, readiness, addresses of entries, or metrics. */
final class GatewayHandler extends Handler.Abstract.NonBlocking {
    /**
     * How long callers may cache addresses. It is shorter than all other bounds, so that callers soon stop using an
     * entry that has terminated.
     */
    private static final Duration ADDRESS_LIFETIME = Duration.ofSeconds(2);

    private final GatewayContext context;
    private final GatewaySettings.Listeners ports;
    private final DirectoryFormat format;
    private final Addresses addresses;
    private final BooleanSupplier ready;
    private final GatewayMetrics metrics;

    /** Provides the addresses of the entries that accept requests. */
    interface Addresses {
        List<String> of(Optional<AvailabilityZone> zone, Moment now);
    }

    GatewayHandler(
            GatewayContext context,
            GatewaySettings.Listeners ports,
            DirectoryFormat format,
            Addresses addresses,
            BooleanSupplier ready,
            GatewayMetrics metrics) {
        this.context = context;
        this.ports = ports;
        this.format = format;
        this.addresses = addresses;
        this.ready = ready;
        this.metrics = metrics;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        int port = Request.getLocalPort(request);
        String method = request.getMethod();
        String path = request.getHttpURI().getPath();
        if (port == ports.callers()) {
            forward(request, response, callback);
        } else if (port == ports.readiness() && format.isReadinessRequest(method, path)) {
            respond(response, callback, ready.getAsBoolean() ? 200 : 503, "text/plain", new byte[0]);
        } else if (port == ports.directory() && format.isAddressRequest(method, path)) {
            directory(request, response, callback);
        } else if (ports.metrics().isPresent() && port == ports.metrics().getAsInt()) {
            respond(response, callback, 200, GatewayMetrics.CONTENT_TYPE, metrics.scrape());
        } else {
            respond(response, callback, 404, "text/plain", new byte[0]);
        }
        return true;
    }

    private void forward(Request request, Response response, Callback callback) {
        Moment now = context.clock().now();
        new CallerExchange(context, request, response, callback, now).begin(now);
    }

    private void directory(Request request, Response response, Callback callback) {
        List<String> list = addresses.of(
                format.zone(request.getHttpURI().getQuery()), context.clock().now());
        if (list.isEmpty()) {
            respond(response, callback, 503, "text/plain", new byte[0]);
            return;
        }
        respond(response, callback, 200, "application/json", format.encodeAddresses(list, ADDRESS_LIFETIME));
    }

    private static void respond(Response response, Callback callback, int status, String type, byte[] body) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
    }
}
