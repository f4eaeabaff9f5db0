package org.baobabspindle.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Runs one stand-in as a process until it is ended. */
public final class StandinMain {
    private static final int USAGE_STATUS = 2;

    @Argument(usage = "what to stand in for: log, instances, weights, engine or service", required = true)
    private String kind;

    @Option(name = "--host", usage = "IP number to listen on")
    private String host = "127.0.0.1";

    @Option(name = "--port", usage = "TCP port to listen on")
    private int port;

    @Option(name = "--id", usage = "name of the instance")
    private String id = "standin";

    @Option(name = "--name", usage = "name of the plain service")
    private String name = "orders";

    @Option(name = "--count", usage = "engines in this process; their names get numbers")
    private int count = 1;

    @Option(name = "--per-domain", usage = "engines of each fabric domain when there are several")
    private int perDomain = 16;

    @Option(name = "--domain", usage = "fabric domain")
    private String domain = "d1";

    @Option(name = "--zone", usage = "availability zone")
    private String zone = "z1";

    @Option(name = "--region", usage = "region")
    private String region = "r1";

    @Option(name = "--instances", usage = "base URL of the instance list")
    private String instances = "";

    @Option(name = "--weights", usage = "base URL of the weight store")
    private String weights = "";

    @Option(name = "--keep", usage = "records that the log keeps")
    private int keep = 100_000;

    @Option(name = "--lag-millis", usage = "how old the instance list is")
    private long lagMillis = 1_000;

    @Option(name = "--parts-per-second", usage = "rate of the weight store")
    private double partsPerSecond = 20;

    @Option(name = "--load-millis", usage = "time to load a part of a model")
    private int loadMillis = 500;

    @Option(name = "--token-millis", usage = "time between tokens")
    private int tokenMillis = 20;

    @Option(name = "--first-token-millis", usage = "time to the first token")
    private int firstTokenMillis = 40;

    @Option(name = "--max-running", usage = "requests that an engine runs at once")
    private int maxRunning = 32;

    @Option(name = "--ignores-fencing", usage = "take orders with old fencing numbers")
    private boolean ignoresFencing;

    private StandinMain() {}

    /**
     * Runs a stand-in.
     *
     * @param args the command line
     * @throws Exception if the stand-in cannot start
     */
    public static void main(String[] args) throws Exception {
        StandinMain main = new StandinMain();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE_STATUS);
        }
        main.run();
        new CountDownLatch(1).await();
    }

    private void run() throws Exception {
        switch (kind) {
            case "log" -> LogStandin.start(host, port, keep);
            case "instances" -> InstanceListStandin.start(host, port, lagMillis);
            case "weights" -> WeightStoreStandin.start(host, port, partsPerSecond);
            case "service" -> register(ServiceStandin.start(host, port, id).describe(name, host, zone, region));
            case "engine" -> startEngines();
            default -> throw new IllegalArgumentException("unknown kind of stand-in: " + kind);
        }
    }

    private void startEngines() throws Exception {
        for (int i = 0; i < count; i++) {
            String name = count == 1 ? id : id + '-' + i;
            String part = count == 1 ? domain : domain + '-' + i / perDomain;
            register(EngineStandin.start(engineOptions(name, part)).describe());
        }
    }

    private EngineOptions engineOptions(String name, String part) {
        return new EngineOptions(
                name,
                host,
                count == 1 ? port : 0,
                part,
                zone,
                region,
                !ignoresFencing,
                loadMillis,
                tokenMillis,
                firstTokenMillis,
                maxRunning,
                weights,
                count == 1);
    }

    private void register(ObjectNode description) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create(instances + "/register"))
                .POST(HttpRequest.BodyPublishers.ofString(description.toString()))
                .build();
        HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding());
    }
}
