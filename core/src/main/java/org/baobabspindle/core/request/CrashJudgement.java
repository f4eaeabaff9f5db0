package org.baobabspindle.core.request;

/** Whether a request may be the cause of the loss of the group that was running it. */
public enum CrashJudgement {
    /** The first member, which ran the request, was lost with its group, so what it was running may have crashed it. */
    SUSPECT,
    /** The first member goes on; another one was lost, which no request brings about alone. */
    MEMBER_LOST,
    /** The whole fabric domain went dark, so no request is suspected. */
    DARK_DOMAIN;

    /**
     * Which engines of the fabric domain answered after the loss of a group. Engines that were silent before the loss say
     * nothing.
     *
     * @param headAnswered whether the first member of the group answered in the same run
     * @param membersAnswering the members of the group that answered
     * @param otherEngines the engines outside the group that had answered shortly before the loss
     * @param otherEnginesAnswering those of the witnesses that answered after it
     */
    public record ProbeResults(
            boolean headAnswered, int membersAnswering, int otherEngines, int otherEnginesAnswering) {}

    /**
     * Judges by which engines answered.
     *
     * @param answers which engines answered after the loss
     * @return the judgement
     */
    public static CrashJudgement of(ProbeResults answers) {
        if (answers.headAnswered()) {
            return MEMBER_LOST;
        }
        boolean silent = answers.membersAnswering() == 0 && answers.otherEnginesAnswering() == 0;
        return silent && answers.otherEngines() > 0 ? DARK_DOMAIN : SUSPECT;
    }
}
