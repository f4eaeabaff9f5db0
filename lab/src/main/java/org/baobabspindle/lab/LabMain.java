package org.baobabspindle.lab;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Runs one experiment: {@code baobabspindle-lab EXPERIMENT [OPTIONS]}. */
public final class LabMain {
    private static final int USAGE_STATUS = 2;

    private LabMain() {}

    /**
     * Runs an experiment.
     *
     * @param args the experiment and its options
     * @throws Exception if the experiment fails
     */
    public static void main(String[] args) throws Exception {
        Map<String, Experiment> all = new TreeMap<>(Map.of(
                "slopes", new SlopesExperiment(),
                "routing", new RoutingExperiment(),
                "placement", new PlacementExperiment(),
                "limits", new LimitsExperiment(),
                "formation", new FormationExperiment()));
        Experiment chosen = args.length == 0 ? null : all.get(args[0]);
        if (chosen == null) {
            System.err.println("usage: EXPERIMENT [OPTIONS], one of " + all.keySet());
            System.exit(USAGE_STATUS);
            return;
        }
        CmdLineParser parser = new CmdLineParser(chosen);
        try {
            parser.parseArgument(Arrays.copyOfRange(args, 1, args.length));
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE_STATUS);
        }
        chosen.run();
    }
}
