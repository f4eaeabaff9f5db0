package org.baobabspindle.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.baobabspindle.node.EntryNode;
import org.baobabspindle.settings.SettingsException;
import org.baobabspindle.settings.SettingsLoader;
import org.kohsuke.args4j.Option;

/** Runs an entry until the process receives a termination signal. */
final class EntryCommand implements Command {
    @Option(name = "--settings", required = true, usage = "settings file, JSON with comments")
    private Path settings;

    @Override
    public String name() {
        return "entry";
    }

    @Override
    public String summary() {
        return "run an entry";
    }

    @Override
    public int run(PrintStream out, PrintStream err) {
        try {
            EntryNode node = EntryNode.start(SettingsLoader.load(settings));
            Runtime.getRuntime().addShutdownHook(new Thread(node::stopGracefully, "stop"));
            out.println("listening on port " + node.port());
            new CountDownLatch(1).await();
            return 0;
        } catch (SettingsException e) {
            err.println(settings + ": " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        } catch (Exception e) {
            err.println("entry failed to start: " + e.getMessage());
            return 1;
        }
    }
}
