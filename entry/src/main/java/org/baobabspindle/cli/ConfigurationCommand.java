package org.baobabspindle.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Shows or patches the configuration by calling an entry. */
final class ConfigurationCommand implements Command {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final String TOKEN_VARIABLE = "BAOBABSPINDLE_OPERATOR_TOKEN";

    @Argument(required = true, metaVar = "show|patch", usage = "action to run")
    private String action;

    @Option(name = "--entry", required = true, usage = "base URL of an entry")
    private String entry;

    @Option(name = "--version-seen", usage = "version of the configuration that the patch is based on")
    private String versionSeen = "";

    @Option(name = "--patch", usage = "file that contains a JSON merge patch (RFC 7396)")
    private Path patch;

    @Override
    public String name() {
        return "configuration";
    }

    @Override
    public String summary() {
        return "show or patch the configuration; the operators' token is read from " + TOKEN_VARIABLE;
    }

    @Override
    public int run(PrintStream out, PrintStream err) {
        String token = System.getenv().getOrDefault(TOKEN_VARIABLE, "");
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(entry + "/admin/configuration"))
                .timeout(TIMEOUT)
                .header("Authorization", "Bearer " + token);
        try {
            if (action.equals("patch")) {
                if (patch == null || versionSeen.isEmpty()) {
                    err.println("patch requires --patch and --version-seen");
                    return 2;
                }
                request.header("If-Match", versionSeen)
                        .method("PATCH", HttpRequest.BodyPublishers.ofString(Files.readString(patch)));
            } else if (!action.equals("show")) {
                err.println("unknown action: " + action);
                return 2;
            }
            HttpResponse<String> response =
                    HttpClient.newHttpClient().send(request.build(), HttpResponse.BodyHandlers.ofString());
            boolean successful = response.statusCode() / 100 == 2;
            (successful ? out : err).println(response.body());
            return successful ? 0 : 1;
        } catch (IOException e) {
            err.println("no response from " + entry + ": " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }
}
