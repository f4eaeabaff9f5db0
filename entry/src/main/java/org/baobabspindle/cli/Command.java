package org.baobabspindle.cli;

import java.io.PrintStream;

/**
 * A subcommand whose options are set before it runs. Adapters register their commands as services of the
 * {@link java.util.ServiceLoader}.
 */
public interface Command {
    /**
     * Returns the name that selects the command on the command line.
     *
     * @return the name
     */
    String name();

    /**
     * Returns a one-line description of the command for the usage text.
     *
     * @return the description
     */
    String summary();

    /**
     * Runs the command.
     *
     * @param out the stream for results
     * @param err the stream for error messages
     * @return the exit status: 0 on success, 1 on failure, 2 if the command line or the settings are invalid
     */
    int run(PrintStream out, PrintStream err);
}
