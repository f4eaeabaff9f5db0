package org.baobabspindle.lab;

/** An experiment whose options are set from the command line before it runs. */
interface Experiment {
    /** Runs the experiment and prints its results on standard output, as JSON lines or as a table. */
    void run() throws Exception;
}
