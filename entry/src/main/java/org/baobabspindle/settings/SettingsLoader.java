package org.baobabspindle.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Loads settings files, which contain JSON with comments. */
public final class SettingsLoader {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private SettingsLoader() {}

    /**
     * Loads and validates the settings of an entry.
     *
     * @param file the settings file
     * @return the settings
     * @throws SettingsException if the file cannot be read or a field is missing, unknown or out of range
     */
    public static EntrySettings load(Path file) throws SettingsException {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new SettingsException("cannot read " + file + ": " + e.getMessage(), e);
        }
    }

    /**
     * Parses and validates the settings of an entry.
     *
     * @param text the content of a settings file
     * @return the settings
     * @throws SettingsException if a field is missing, unknown or out of range
     */
    public static EntrySettings parse(String text) throws SettingsException {
        try {
            return MAPPER.readValue(text, EntrySettings.class);
        } catch (UnrecognizedPropertyException e) {
            throw new SettingsException(e.getPropertyName() + ": unknown field", e);
        } catch (JsonMappingException e) {
            throw new SettingsException(reason(e), e);
        } catch (JsonProcessingException e) {
            throw new SettingsException("line " + e.getLocation().getLineNr() + ": " + e.getOriginalMessage(), e);
        }
    }

    private static String reason(JsonMappingException e) {
        if (e.getCause() instanceof IllegalArgumentException) {
            return e.getCause().getMessage();
        }
        String path = e.getPath().isEmpty()
                ? "settings"
                : e.getPath().get(e.getPath().size() - 1).getFieldName();
        return path + ": " + e.getOriginalMessage();
    }
}
