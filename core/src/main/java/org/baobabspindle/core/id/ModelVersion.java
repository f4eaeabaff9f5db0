package org.baobabspindle.core.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A version of a model. A fine-tuned adapter is served as a model with its own name.
 *
 * @param model the name of the model; not blank
 * @param version the name of the version; not blank and without {@code @}
 */
public record ModelVersion(String model, String version) implements Comparable<ModelVersion> {
    private static final char SEPARATOR = '@';

    /** Validates the names. */
    public ModelVersion {
        Checks.identifier("model", model);
        Checks.identifier("version", version);
        Checks.require(version.indexOf(SEPARATOR) < 0, "version must not contain '@' but was " + version);
    }

    /**
     * Parses the text form {@code model@version}.
     *
     * @param text the text form
     * @return the model version
     * @throws IllegalArgumentException if the text does not have this form
     */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static ModelVersion parse(String text) {
        int separator = text.lastIndexOf(SEPARATOR);
        Checks.require(separator > 0, "model must have the form model@version but was " + text);
        return new ModelVersion(text.substring(0, separator), text.substring(separator + 1));
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
