package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The events of a stream as a client has read them. */
record StreamText(List<Event> events, String rest) {
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\S+) (\\d+)/\\d+ (\\S+)");

    /** An event; {@code id} is -1 if it is not one of those that runners send. */
    record Event(int id, String request, String run) {}

    /** What is wrong with a stream. */
    record Fault(String rule, String detail) {}

    static StreamText of(String body) {
        List<Event> events = new ArrayList<>();
        int from = 0;
        for (int end = body.indexOf("\n\n"); end >= 0; end = body.indexOf("\n\n", from)) {
            Matcher m = EVENT.matcher(body.substring(from, end));
            boolean valid = m.matches() && m.group(1).equals(m.group(3));
            events.add(
                    valid
                            ? new Event(
                                    Integer.parseInt(m.group(1)),
                                    m.group(2),
                                    m.group(4))
                            : new Event(-1, body.substring(from, end), ""));
            from = end + 2;
        }
        return new StreamText(events, body.substring(from));
    }

    /** Returns the id of the last whole event; -1 if there is none. */
    int lastId() {
        return events.isEmpty() ? -1 : events.get(events.size() - 1).id();
    }

    /** Returns the run of the last event; empty if there is none. */
    String lastRun() {
        return events.isEmpty() ? "" : events.get(events.size() - 1).run();
    }

    /** Returns whether the last event is there and nothing follows it. */
    boolean isWhole(StreamCaller.Ask ask) {
        int last = events.isEmpty() ? ask.after() : lastId();
        return rest.isEmpty() && last == Integer.parseInt(ask.body().split(" ")[0]) - 1;
    }

    /** Returns what is wrong with the events that have come. */
    Optional<Fault> fault(StreamCaller.Ask ask, List<String> runs, String stamp) {
        int expected = ask.after() + 1;
        String run = "";
        for (Event e : events) {
            if (e.id() < 0) {
                return Optional.of(new Fault("MIXED", "gets an event that no runner sends"));
            }
            if (!e.request().equals(ask.id())) {
                return Optional.of(new Fault("FOREIGN", "gets an event of " + e.request()));
            }
            if (e.id() != expected) {
                return Optional.of(new Fault("ORDER", "gets event " + e.id() + " in place of " + expected));
            }
            boolean firstRun = run.isEmpty();
            if (firstRun && !stamp.equals("stamp." + ask.id() + "." + e.run())) {
                return Optional.of(new Fault("MIXED", "has the stamp " + stamp));
            }
            if (!firstRun && !run.equals(e.run()) && !wentOn(runs, e.run(), e.id())) {
                return Optional.of(new Fault("ORDER", "joins " + run + " and " + e.run() + " of " + runs));
            }
            run = e.run();
            expected++;
        }
        return Optional.empty();
    }

    /** Returns whether a run was asked to go on with an event, or earlier. */
    private static boolean wentOn(List<String> runs, String run, int event) {
        return runs.stream()
                .anyMatch(r -> r.startsWith(run + " after ")
                        && Integer.parseInt(r.substring(r.lastIndexOf(' ') + 1)) < event);
    }
}
