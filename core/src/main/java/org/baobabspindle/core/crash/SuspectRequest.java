package org.baobabspindle.core.crash;

import java.util.ArrayList;
import java.util.List;
import org.baobabspindle.core.id.PromptPart;
import org.baobabspindle.core.id.RequestFingerprint;

/**
 * A request, by what may make it crash a server.
 *
 * @param fingerprint the fingerprint of its content
 * @param sharedParts the parts of its prompt that other requests may share
 */
public record SuspectRequest(RequestFingerprint fingerprint, List<PromptPart> sharedParts) {
    /** Copies the parts. */
    public SuspectRequest {
        sharedParts = List.copyOf(sharedParts);
    }

    /**
     * Returns everything that may make this request crash a server.
     *
     * @return the fingerprint, then the shared parts of the prompt
     */
    public List<CrashCause> causes() {
        List<CrashCause> causes = new ArrayList<>();
        causes.add(CrashCause.of(fingerprint));
        sharedParts.forEach(part -> causes.add(CrashCause.of(part)));
        return causes;
    }

    /**
     * Returns the possible causes if its server broke the request off.
     *
     * @param answering whether the server had begun the answer; a prompt part crashes it before that
     * @return the possible causes
     */
    public List<CrashCause> causesOfBreak(boolean answering) {
        return answering ? List.of(CrashCause.of(fingerprint)) : causes();
    }
}
