package org.baobabspindle.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import org.baobabspindle.settings.SettingsException;
import org.baobabspindle.settings.SettingsLoader;
import org.kohsuke.args4j.Option;

/** Validates a settings file. */
final class CheckSettingsCommand implements Command {
    @Option(name = "--settings", required = true, usage = "settings file, JSON with comments")
    private Path settings;

    @Override
    public String name() {
        return "check-settings";
    }

    @Override
    public String summary() {
        return "validate a settings file";
    }

    @Override
    public int run(PrintStream out, PrintStream err) {
        try {
            SettingsLoader.load(settings);
            out.println(settings + ": ok");
            return 0;
        } catch (SettingsException e) {
            err.println(settings + ": " + e.getMessage());
            return 1;
        }
    }
}
