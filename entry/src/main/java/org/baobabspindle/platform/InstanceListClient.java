package org.baobabspindle.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.baobabspindle.core.group.PlatformInstance;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.Region;
import org.baobabspindle.http.Json;
import org.baobabspindle.logging.OncePerKeyLog;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/** Reads the platform's instance list over HTTP. An unchanged list is not transferred again, by its entity tag. */
public final class InstanceListClient {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

    private final HttpClient http;
    private final String url;
    private final OncePerKeyLog malformedInstances = new OncePerKeyLog(InstanceListClient.class);
    private String etag = "";

    /**
     * Creates a client.
     *
     * @param http the HTTP client
     * @param url the base URL of the instance list
     */
    public InstanceListClient(HttpClient http, String url) {
        this.http = http;
        this.url = url;
    }

    /**
     * Reads the list if it has changed since the last call.
     *
     * @return the list, or empty if it is unchanged
     * @throws IOException if the platform did not respond or its response is not valid
     * @throws InterruptedException if the thread was interrupted
     */
    public Optional<InstanceList> poll() throws IOException, InterruptedException {
        ContentResponse response;
        try {
            response = http.newRequest(url + "/instances")
                    .headers(h -> h.put(HttpHeader.IF_NONE_MATCH, etag))
                    .timeout(REQUEST_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                    .send();
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("no response: " + e.getMessage(), e);
        }
        if (response.getStatus() == HttpStatus.NOT_MODIFIED_304) {
            return Optional.empty();
        }
        if (response.getStatus() != HttpStatus.OK_200) {
            throw new IOException("instance list responded with status " + response.getStatus());
        }
        InstanceList list = parse(Json.mapper().readTree(response.getContent()));
        etag = Optional.ofNullable(response.getHeaders().get(HttpHeader.ETAG)).orElse("");
        return Optional.of(list);
    }

    /** Parses the list without the instances that cannot be parsed. */
    private InstanceList parse(JsonNode body) throws IOException {
        if (!body.path("instances").isArray()) {
            throw new IOException("malformed instance list: it has no instances");
        }
        List<PlatformInstance> engines = new ArrayList<>();
        List<ServiceInstance> services = new ArrayList<>();
        for (JsonNode instance : body.path("instances")) {
            try {
                if (instance.path("kind").asText().equals("engine")) {
                    engines.add(parseEngine(instance));
                } else {
                    services.add(parseService(instance));
                }
            } catch (IllegalArgumentException e) {
                String id = instance.path("id").asText();
                malformedInstances.warn(id, "ignoring malformed instance \"" + id + "\": " + e.getMessage());
            }
        }
        return new InstanceList(engines, services);
    }

    private static Incarnation parseIncarnation(JsonNode instance) {
        return Incarnation.of(
                instance.path("id").asText(), instance.path("incarnation").asLong());
    }

    private static PlatformInstance parseEngine(JsonNode instance) {
        return new PlatformInstance(
                parseIncarnation(instance),
                FabricDomain.of(instance.path("domain").asText()),
                AvailabilityZone.of(instance.path("zone").asText()),
                Region.of(instance.path("region").asText()),
                instance.path("host").asText(),
                instance.path("port").asInt(),
                instance.path("leaving").asBoolean(),
                instance.path("checksFencing").asBoolean(),
                instance.path("accelerators").asInt(1));
    }

    private static ServiceInstance parseService(JsonNode instance) {
        return new ServiceInstance(
                parseIncarnation(instance),
                instance.path("name").asText(),
                AvailabilityZone.of(instance.path("zone").asText()),
                instance.path("host").asText(),
                instance.path("port").asInt(),
                instance.path("leaving").asBoolean());
    }
}
