package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** What was sent, answered and run, in a text file and in memory. */
final class Record implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter out;
    private final Map<String, List<String>> runs = new TreeMap<>();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    double seconds() {
        return (System.nanoTime() - start) / 1e9;
    }

    synchronized void write(String line) {
        out.printf(Locale.ROOT, "%8.3f %s%n", seconds(), line);
        out.flush();
    }

    synchronized void ran(String request, String runner) {
        runs.computeIfAbsent(request, r -> new ArrayList<>()).add(runner);
        write("runner " + runner + " begins to run " + request);
    }

    /** Adds the runs of the record of another process. */
    synchronized void addRuns(Path file) throws IOException {
        for (String line : Files.readAllLines(file, StandardCharsets.UTF_8)) {
            int at = line.indexOf(" begins to run ");
            if (at > 0) {
                ran(line.substring(at + " begins to run ".length()), line.substring(line.indexOf("runner ") + 7, at));
            }
        }
    }

    /** Returns the runners that ran a request, in their order. */
    synchronized List<String> runsOf(String request) {
        return List.copyOf(runs.getOrDefault(request, List.of()));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
