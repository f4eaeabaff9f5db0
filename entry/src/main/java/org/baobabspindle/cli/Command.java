package org.baobabspindle.cli;

import java.io.PrintStream;

/** A command of the command line; its options are set before it runs. Adapters add theirs as services. */
public interface Command {
    /**
     * Returns the name of the command.
     *
     * @return the word that selects it
     */
    String name();

    /**
     * Says in one line what the command does.
     *
     * @return the line
     */
    String summary();

    /**
     * Runs the command.
     *
     * @param out where results go
     * @param err where messages go
     * @return the exit status: 0 done, 1 failed, 2 the command line or the settings are wrong
     */
    int run(PrintStream out, PrintStream err);
}
