package org.baobabspindle.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.baobabspindle.core.log.Trace;
import org.kohsuke.args4j.Argument;

/** Replays a trace and reports the first verdict that differs from the recorded one. */
final class ReplayCommand implements Command {
    @Argument(required = true, metaVar = "TRACE", usage = "file written by the trace command")
    private Path trace;

    @Override
    public String name() {
        return "replay";
    }

    @Override
    public String summary() {
        return "replay a trace and report the first verdict that differs from the recorded one";
    }

    @Override
    public int run(PrintStream out, PrintStream err) {
        try {
            List<String> lines = Files.readAllLines(trace);
            Optional<Trace.Difference> difference = Trace.replay(lines);
            if (difference.isEmpty()) {
                out.println(lines.size() + " records: all verdicts match the recorded ones");
                return 0;
            }
            err.println("offset " + difference.get().offset() + ": recorded "
                    + difference.get().recorded() + ", now " + difference.get().now());
            return 1;
        } catch (IOException | IllegalArgumentException e) {
            err.println(trace + ": " + e.getMessage());
            return 1;
        }
    }
}
