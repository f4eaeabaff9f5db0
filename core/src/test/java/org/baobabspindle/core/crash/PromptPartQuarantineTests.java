package org.baobabspindle.core.crash;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.stream.Stream;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.id.PromptPart;
import org.baobabspindle.core.id.RequestFingerprint;
import org.baobabspindle.core.time.Moment;
import org.junit.jupiter.api.Test;

/** Tests prompt parts that crash servers, and harmless parts and requests beside them. */
class PromptPartQuarantineTests {
    private static final CrashCause DEADLY = CrashCause.of(PromptPart.of("deadly"));
    private static final CrashCause COMMON = CrashCause.of(PromptPart.of("common"));

    private static final SuspectRequest HARMLESS = request("a");
    private static final long MINUTE = 60_000;

    private final RequestQuarantine quarantine = new RequestQuarantine();
    private int requests;

    private static Moment at(long millis) {
        return new Moment(0, 0).plus(Duration.ofMillis(millis));
    }

    private static Optional<Duration> millis(long millis) {
        return Optional.of(Duration.ofMillis(millis));
    }

    private static SuspectRequest request(String fingerprint, String... sharedParts) {
        return new SuspectRequest(
                RequestFingerprint.of(fingerprint),
                Stream.of(sharedParts).map(PromptPart::of).toList());
    }

    private static Crash crashOf(CrashCause cause, int server) {
        return new Crash(cause, new BackendServer.Lifetime(InstanceId.of("s" + server), 1), "d" + server);
    }

    private Optional<Duration> remainingOf(SuspectRequest request, long millis) {
        return quarantine.quarantinedFor(request, c -> 0, c -> true, at(millis));
    }

    private void crash(CrashCause part, int server, long millis) {
        quarantine.recordCrash(crashOf(part, server), at(millis), at(millis));
    }

    private void served(CrashCause part, long millis) {
        quarantine.recordSuccess(part, at(millis), at(millis));
    }

    private Optional<Duration> remaining(long millis, String... parts) {
        return remaining(true, millis, parts);
    }

    private Optional<Duration> remaining(boolean retriesHere, long millis, String... parts) {
        return quarantine.quarantinedFor(request("new" + requests++, parts), c -> 0, c -> retriesHere, at(millis));
    }

    @Test
    void firstCrashQuarantinesAPartWithoutAnAnswer() {
        crash(DEADLY, 1, 0);
        assertThat(remaining(0, "deadly")).isEqualTo(millis(30_000));
        assertThat(remaining(0, "other")).isEqualTo(Optional.empty());
    }

    @Test
    void thirdCrashQuarantinesAPartForTenMinutes() {
        crash(DEADLY, 1, 0);
        crash(DEADLY, 2, 500);
        crash(DEADLY, 3, 31_000);
        assertThat(remaining(31_000, "deadly")).isEqualTo(millis(10 * MINUTE));
    }

    @Test
    void partWithARecentAnswerIsQuarantinedByTheThirdCrashOnly() {
        served(COMMON, 0);
        crash(COMMON, 1, 10_000);
        crash(COMMON, 2, 10_700);
        assertThat(remaining(10_700, "common")).isEqualTo(Optional.empty());
        crash(COMMON, 3, 11_400);
        assertThat(remaining(11_400, "common")).isEqualTo(millis(10 * MINUTE));
    }

    @Test
    void answerOfLongAgoDoesNotProtectAPart() {
        served(DEADLY, 0);
        crash(DEADLY, 1, 2 * MINUTE);
        assertThat(remaining(2 * MINUTE, "deadly").isPresent()).isTrue();
    }

    @Test
    void answerAfterACrashReleasesAPart() {
        crash(COMMON, 1, 0);
        assertThat(quarantine.recordSuccess(COMMON, at(300), at(300))).isTrue();
        assertThat(remaining(300, "common")).isEqualTo(Optional.empty());
    }

    /** All requests with the deadly part share their first part with harmless ones. */
    @Test
    void moreCrashesOfAnotherPartReleaseARequestWithoutIt() {
        crash(COMMON, 1, 0);
        crash(DEADLY, 1, 0);
        crash(DEADLY, 2, 700);
        assertThat(remaining(false, 700, "common")).isEqualTo(Optional.empty());
        assertThat(remaining(false, 700, "common", "deadly")).isEqualTo(millis(30_000));
    }

    @Test
    void oneEntryTriesAPartWhoseCrashesMayHaveAnotherCause() {
        for (int server = 1; server <= 4; server++) {
            crash(COMMON, server, server * 1_000L);
            crash(DEADLY, server, server * 1_000L);
        }
        assertThat(remaining(false, 4_000, "common")).isEqualTo(millis(1_000));
        assertThat(remaining(true, 4_000, "common")).isEqualTo(Optional.empty());
        assertThat(remaining(true, 4_000, "common", "deadly")).isEqualTo(millis(10 * MINUTE));
        quarantine.recordAttempt(request("trial", "common"), at(4_000));
        assertThat(remaining(true, 4_100, "common")).isEqualTo(millis(900));
        served(COMMON, 4_200);
        assertThat(remaining(false, 4_200, "common")).isEqualTo(Optional.empty());
        assertThat(remaining(false, 4_200, "common", "deadly").isPresent()).isTrue();
    }

    @Test
    void partWithARecentAnswerIsExcusedByOneWithout() {
        served(COMMON, 0);
        for (int server = 1; server <= 3; server++) {
            crash(COMMON, server, server * 1_000L);
            crash(DEADLY, server, server * 1_000L);
        }
        assertThat(remaining(false, 3_000, "common")).isEqualTo(Optional.empty());
        assertThat(remaining(false, 3_000, "deadly").isPresent()).isTrue();
    }

    @Test
    void proofOfAPartIsToldOnce() {
        served(COMMON, 0);
        assertThat(quarantine.takeProof(COMMON, at(10))).isEqualTo(Optional.empty());
        crash(COMMON, 1, 20);
        assertThat(quarantine.takeProof(COMMON, at(20))).isEqualTo(Optional.of(at(0)));
        assertThat(quarantine.takeProof(COMMON, at(21))).isEqualTo(Optional.empty());
    }

    @Test
    void proofThatAnotherEntryHasToldIsNotRepeated() {
        crash(COMMON, 1, 20);
        served(COMMON, 10);
        assertThat(quarantine.takeProof(COMMON, at(20))).isEqualTo(Optional.empty());
        assertThat(quarantine.takeProof(DEADLY, at(20))).isEqualTo(Optional.empty());
    }

    @Test
    void crashOfATrialIsBlamedOnThePartThatTheTrialContained() {
        crash(COMMON, 1, 0);
        crash(DEADLY, 1, 0);
        crash(COMMON, 2, 1_500);
        assertThat(remaining(false, 1_500, "common")).isEqualTo(millis(30_000));
        assertThat(remaining(false, 1_500, "deadly")).isEqualTo(Optional.empty());
    }

    /** A stream is resumed after each crash and meets the deadly part twice. */
    @Test
    void requestThatRanBesideADeadlyPartIsNotQuarantined() {
        crash(DEADLY, 1, 0);
        crash(DEADLY, 2, 700);
        crash(CrashCause.of(HARMLESS.fingerprint()), 1, 0);
        crash(CrashCause.of(HARMLESS.fingerprint()), 2, 700);
        assertThat(remainingOf(HARMLESS, 700)).isEqualTo(Optional.empty());
        crash(CrashCause.of(HARMLESS.fingerprint()), 3, 5_000);
        crash(CrashCause.of(HARMLESS.fingerprint()), 4, 6_000);
        assertThat(remainingOf(HARMLESS, 6_000).isPresent()).isTrue();
    }

    @Test
    void suspicionQuarantinesOnlyAPartWithoutAnAnswer() {
        served(COMMON, 0);
        assertThat(quarantine.quarantinedFor(request("a", "common"), c -> c.isPromptPart() ? 1 : 0, c -> true, at(10)))
                .isEqualTo(Optional.empty());
        assertThat(quarantine.quarantinedFor(request("a", "deadly"), c -> c.isPromptPart() ? 1 : 0, c -> true, at(10)))
                .isEqualTo(millis(1_000));
    }

    @Test
    void crashesOfPartsAreSharedWithOtherEntries() {
        crash(DEADLY, 1, 0);
        assertThat(quarantine.sharedCrashes(at(0)).keySet()).containsExactly(crashOf(DEADLY, 1));
    }

    @Test
    void remembersTheAnswersOfManyParts() {
        for (int i = 0; i < 10_001; i++) {
            served(CrashCause.of(PromptPart.of("p" + i)), i);
        }
        crash(CrashCause.of(PromptPart.of("p0")), 1, 10_001);
        crash(CrashCause.of(PromptPart.of("p1")), 2, 10_001);
        assertThat(remaining(10_001, "p0").isPresent()).isTrue();
        assertThat(remaining(10_001, "p1")).isEqualTo(Optional.empty());
    }
}
