package org.baobabspindle.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import org.baobabspindle.core.log.ReplayedState;
import org.baobabspindle.core.log.Trace;
import org.baobabspindle.http.HttpClients;
import org.baobabspindle.platform.LogClient;
import org.baobabspindle.platform.LogPage;
import org.kohsuke.args4j.Option;

/** Writes a trace of a log: each record with its verdict. */
final class TraceCommand implements Command {
    @Option(name = "--log", required = true, usage = "base URL of the log service")
    private String log;

    @Override
    public String name() {
        return "trace";
    }

    @Override
    public String summary() {
        return "write a trace of a log: all records, starting with the first one, with their verdicts";
    }

    @Override
    public int run(PrintStream out, PrintStream err) {
        LogClient client = new LogClient(HttpClients.pooled("trace"), log);
        ReplayedState state = new ReplayedState();
        try {
            LogPage page = client.read(state.nextOffset(), Duration.ZERO);
            if (page.isExpired()) {
                err.println("the first records of the log have expired");
                return 1;
            }
            while (!page.records().isEmpty()) {
                page.records().forEach(line -> out.println(Trace.record(state, line)));
                page = client.read(state.nextOffset(), Duration.ZERO);
            }
            return 0;
        } catch (IOException e) {
            err.println("cannot read the log: " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }
}
