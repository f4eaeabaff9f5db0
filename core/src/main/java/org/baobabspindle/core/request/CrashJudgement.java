package org.baobabspindle.core.request;

/** Whether a request may be the cause of the loss of the group that was running it. */
public enum CrashJudgement {
    /** Only the group was lost, so what it was running may have crashed it. */
    SUSPECT,
    /** The whole fabric domain went dark, so no request is suspected. */
    DARK_DOMAIN;

    /**
     * Judges by which engines of the fabric domain answered after the loss. Engines that were silent before the loss say
     * nothing.
     *
     * @param membersAnswering the members of the group that answered
     * @param witnesses the engines outside the group that had answered shortly before the loss
     * @param witnessesAnswering those of the witnesses that answered after it
     * @return the judgement
     */
    public static CrashJudgement of(int membersAnswering, int witnesses, int witnessesAnswering) {
        boolean dark = membersAnswering == 0 && witnesses > 0 && witnessesAnswering == 0;
        return dark ? DARK_DOMAIN : SUSPECT;
    }
}
