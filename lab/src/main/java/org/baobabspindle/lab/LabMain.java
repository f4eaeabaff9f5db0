package org.baobabspindle.lab;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Command-line entry point that runs one experiment: {@code baobabspindle-lab EXPERIMENT [OPTIONS]}. */
public final class LabMain {
    private static final int USAGE_STATUS = 2;

    private LabMain() {}

    /**
     * Runs the experiment that the first argument names.
     *
     * @param args the name of the experiment, followed by its options
     * @throws Exception if the experiment fails
     */
    public static void main(String[] args) throws Exception {
        Map<String, Experiment> experiments = new TreeMap<>(Map.of(
                "slopes", new SlopesExperiment(),
                "routing", new RoutingExperiment(),
                "placement", new PlacementExperiment(),
                "limits", new LimitsExperiment(),
                "formation", new FormationExperiment()));
        Experiment experiment = args.length == 0 ? null : experiments.get(args[0]);
        if (experiment == null) {
            System.err.println("usage: EXPERIMENT [OPTIONS], one of " + experiments.keySet());
            System.exit(USAGE_STATUS);
            return;
        }
        CmdLineParser parser = new CmdLineParser(experiment);
        try {
            parser.parseArgument(Arrays.copyOfRange(args, 1, args.length));
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE_STATUS);
        }
        experiment.run();
    }
}
