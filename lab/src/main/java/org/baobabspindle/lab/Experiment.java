package org.baobabspindle.lab;

/** An experiment; its options are set before it runs. */
interface Experiment {
    /** Runs the experiment and prints its figures as JSON lines. */
    void run() throws Exception;
}
