package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A model in one of its versions. An adapter is served as a model of its own name.
 *
 * @param model the name of the model
 * @param version the name of the version
 */
public record ModelVersion(String model, String version) implements Comparable<ModelVersion> {
    private static final char SEPARATOR = '@';

    /** Checks the names. */
    public ModelVersion {
        Checks.identifier("model", model);
        Checks.identifier("version", version);
        Checks.require(version.indexOf(SEPARATOR) < 0, "version must not hold '@' but was " + version);
    }

    /**
     * Reads the text form {@code model@version}.
     *
     * @param text the text form
     * @return the model version
     * @throws IllegalArgumentException if the text has another form
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static ModelVersion parse(String text) {
        int at = text.lastIndexOf(SEPARATOR);
        Checks.require(at > 0, "model must read model@version but was " + text);
        return new ModelVersion(text.substring(0, at), text.substring(at + 1));
    }

    @Override
    public int compareTo(ModelVersion other) {
        return toString().compareTo(other.toString());
    }

    @Override
    @JsonValue
    public String toString() {
        return model + SEPARATOR + version;
    }
}
