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
     * @param lead whether the first member of the group answered in the same run
     * @param members the members of the group that answered
     * @param witnesses the engines outside the group that had answered shortly before the loss
     * @param witnessesAnswering those of the witnesses that answered after it
     */
    public record Answers(boolean lead, int members, int witnesses, int witnessesAnswering) {}

    /**
     * Judges by which engines answered.
     *
     * @param answers which engines answered after the loss
     * @return the judgement
     */
    public static CrashJudgement of(Answers answers) {
        if (answers.lead()) {
            return MEMBER_LOST;
        }
        boolean silent = answers.members() == 0 && answers.witnessesAnswering() == 0;
        return silent && answers.witnesses() > 0 ? DARK_DOMAIN : SUSPECT;
    }
}
