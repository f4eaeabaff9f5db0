package org.baobabspindle.core.request;

/** Whether a request is suspected of crashing the group that was running it. */
public enum CrashJudgement {
    /** The head, which ran the request, was lost, so the request may have crashed it. */
    SUSPECT,
    /** The head is still running; another member was lost, which a request alone cannot cause. */
    MEMBER_LOST,
    /** The whole fabric domain is unresponsive, so no request is suspected. */
    DARK_DOMAIN;

    /**
     * The engines of the fabric domain that answered probes after the loss of a group. Engines that were unresponsive
     * before the loss are not counted, because they are no evidence about its cause.
     *
     * @param headAnswered whether the head of the group answered in the same incarnation
     * @param membersAnswering the number of members of the group that answered
     * @param otherEngines the number of engines outside the group that had answered shortly before the loss
     * @param otherEnginesAnswering the number of those other engines that answered after the loss
     */
    public record ProbeResults(
            boolean headAnswered, int membersAnswering, int otherEngines, int otherEnginesAnswering) {}

    /**
     * Judges the loss of a group by the engines that answered probes afterwards.
     *
     * @param results the results of the probes
     * @return the judgement
     */
    public static CrashJudgement of(ProbeResults results) {
        if (results.headAnswered()) {
            return MEMBER_LOST;
        }
        boolean noneAnswering = results.membersAnswering() == 0 && results.otherEnginesAnswering() == 0;
        return noneAnswering && results.otherEngines() > 0 ? DARK_DOMAIN : SUSPECT;
    }
}
