package org.baobabspindle.cli;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.ServiceLoader;
import java.util.TreeMap;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Entry point of the command line {@code baobabspindle COMMAND [OPTIONS]}. */
public final class Main {
    private static final int USAGE_ERROR_STATUS = 2;

    private Main() {}

    /**
     * Runs a command and exits with its status: 0 on success, 1 on failure, 2 if the command line or the settings are
     * invalid.
     *
     * @param args the command and its options
     */
    public static void main(String[] args) {
        int status = run(args, System.out, System.err);
        System.exit(status);
    }

    static int run(String[] args, PrintStream out, PrintStream err) {
        Map<String, Command> commands = commands();
        if (args.length == 0 || args[0].equals("--help")) {
            printUsage(commands, out);
            return args.length == 0 ? USAGE_ERROR_STATUS : 0;
        }
        if (args[0].equals("--version")) {
            out.println("baobabspindle " + version());
            return 0;
        }
        Command command = commands.get(args[0]);
        if (command == null) {
            err.println("unknown command: " + args[0]);
            printUsage(commands, err);
            return USAGE_ERROR_STATUS;
        }
        CmdLineParser parser = new CmdLineParser(command);
        try {
            parser.parseArgument(Arrays.copyOfRange(args, 1, args.length));
        } catch (CmdLineException e) {
            err.println(e.getMessage());
            err.println("usage: baobabspindle " + args[0] + " OPTIONS");
            parser.printUsage(err);
            return USAGE_ERROR_STATUS;
        }
        return command.run(out, err);
    }

    private static Map<String, Command> commands() {
        Map<String, Command> commands = new TreeMap<>();
        List.of(
                        new EntryCommand(),
                        new CheckSettingsCommand(),
                        new ConfigurationCommand(),
                        new TraceCommand(),
                        new ReplayCommand())
                .forEach(c -> commands.put(c.name(), c));
        ServiceLoader.load(Command.class).forEach(c -> commands.put(c.name(), c));
        return commands;
    }

    private static void printUsage(Map<String, Command> commands, PrintStream out) {
        out.println("usage: baobabspindle COMMAND [OPTIONS]");
        commands.forEach((name, c) -> out.println("  " + name + ": " + c.summary()));
        out.println("  --version, --help");
    }

    private static String version() {
        String version = Main.class.getPackage().getImplementationVersion();
        return version == null ? "unpackaged" : version;
    }
}
