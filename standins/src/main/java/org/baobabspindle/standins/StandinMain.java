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

/** Runs stand-ins of one kind in a process until the process is terminated. */
public final class StandinMain {
    private static final int USAGE_EXIT_STATUS = 2;

    @Argument(usage = "kind of the stand-in: log, instances, weights, engine or service", required = true)
    private String kind;

    @Option(name = "--host", usage = "IP address to listen on")
    private String host = "127.0.0.1";

    @Option(name = "--port", usage = "TCP port to listen on; 0 selects a free one")
    private int port;

    @Option(name = "--id", usage = "id of the instance")
    private String id = "standin";

    @Option(name = "--name", usage = "name of the plain service")
    private String name = "orders";

    @Option(name = "--count", usage = "number of engines in this process; a number is appended to the id of each")
    private int count = 1;

    @Option(name = "--per-domain", usage = "engines per fabric domain if this process runs several engines")
    private int perDomain = 16;

    @Option(name = "--domain", usage = "fabric domain")
    private String domain = "d1";

    @Option(name = "--zone", usage = "availability zone")
    private String zone = "z1";

    @Option(name = "--region", usage = "region")
    private String region = "r1";

    @Option(name = "--instances", usage = "base URL of the instance list")
    private String instanceListUrl = "";

    @Option(name = "--weights", usage = "base URL of the weight store")
    private String weightStoreUrl = "";

    @Option(name = "--keep", usage = "number of records that the log retains")
    private int maxRecords = 100_000;

    @Option(name = "--lag-millis", usage = "age of the returned instance list in milliseconds")
    private long lagMillis = 1_000;

    @Option(name = "--parts-per-second", usage = "total rate of the weight store in model parts per second")
    private double partsPerSecond = 20;

    @Option(name = "--load-millis", usage = "time to load a part of a model in milliseconds")
    private int loadMillis = 500;

    @Option(name = "--token-millis", usage = "time between tokens in milliseconds")
    private int tokenMillis = 20;

    @Option(name = "--first-token-millis", usage = "time to the first token in milliseconds")
    private int firstTokenMillis = 40;

    @Option(name = "--max-running", usage = "maximum number of concurrent requests of an engine")
    private int maxRunning = 32;

    @Option(name = "--ignores-fencing", usage = "accept orders with stale fencing numbers")
    private boolean ignoresFencing;

    private StandinMain() {}

    /**
     * Starts the stand-ins and waits until the process is terminated.
     *
     * @param args the command line arguments
     * @throws Exception if a stand-in cannot be started
     */
    public static void main(String[] args) throws Exception {
        StandinMain main = new StandinMain();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE_EXIT_STATUS);
        }
        main.run();
        new CountDownLatch(1).await();
    }

    private void run() throws Exception {
        switch (kind) {
            case "log" -> LogStandin.start(host, port, maxRecords);
            case "instances" -> InstanceListStandin.start(host, port, lagMillis);
            case "weights" -> WeightStoreStandin.start(host, port, partsPerSecond);
            case "service" -> register(ServiceStandin.start(host, port, id).toInstanceJson(name, host, zone, region));
            case "engine" -> startEngines();
            default -> throw new IllegalArgumentException("unknown kind of stand-in: " + kind);
        }
    }

    private void startEngines() throws Exception {
        for (int i = 0; i < count; i++) {
            String engineId = count == 1 ? id : id + '-' + i;
            String engineDomain = count == 1 ? domain : domain + '-' + i / perDomain;
            register(EngineStandin.start(engineOptions(engineId, engineDomain)).toInstanceJson());
        }
    }

    private EngineOptions engineOptions(String engineId, String engineDomain) {
        return new EngineOptions(
                engineId,
                host,
                count == 1 ? port : 0,
                engineDomain,
                zone,
                region,
                !ignoresFencing,
                loadMillis,
                tokenMillis,
                firstTokenMillis,
                maxRunning,
                weightStoreUrl,
                count == 1);
    }

    private void register(ObjectNode instance) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create(instanceListUrl + "/register"))
                .POST(HttpRequest.BodyPublishers.ofString(instance.toString()))
                .build();
        HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding());
    }
}
