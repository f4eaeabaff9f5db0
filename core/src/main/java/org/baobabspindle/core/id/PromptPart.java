package org.baobabspindle.core.id;

import java.util.ArrayList;
import java.util.List;

/**
 * The identifier of a part of a prompt. Requests whose prompts share a part have the same identifier in them.
 *
 * @param value the identifier; not blank
 */
public record PromptPart(String value) {
    /** The maximum number of shared parts of a prompt that are returned; further ones are left out. */
    private static final int MAX_SHARED_PARTS = 64;

    /** Validates the identifier. */
    public PromptPart {
        Checks.identifier("prompt part", value);
    }

    /**
     * Returns the prompt part with the given identifier.
     *
     * @param value the identifier
     * @return the prompt part
     * @throws IllegalArgumentException if the identifier is null, blank, too long or contains a control character
     */
    public static PromptPart of(String value) {
        return new PromptPart(value);
    }

    /**
     * Returns the parts of a prompt that other prompts may share: all but the last one.
     *
     * @param list the parts in order, separated by commas, each an identifier, a colon and a number of tokens; may be
     *     null
     * @return the distinct shared parts in order; parts that are not valid identifiers are left out
     */
    public static List<PromptPart> sharedParts(String list) {
        List<PromptPart> shared = new ArrayList<>();
        if (list == null) {
            return shared;
        }
        String[] parts = list.split(",", -1);
        for (int i = 0; i < parts.length - 1 && shared.size() < MAX_SHARED_PARTS; i++) {
            String id = parts[i].split(":", 2)[0].trim();
            if (Checks.isIdentifier(id) && !shared.contains(new PromptPart(id))) {
                shared.add(new PromptPart(id));
            }
        }
        return List.copyOf(shared);
    }

    @Override
    public String toString() {
        return value;
    }
}
