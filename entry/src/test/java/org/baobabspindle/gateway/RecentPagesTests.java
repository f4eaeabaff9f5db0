package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.port.FeedPage;
import org.baobabspindle.port.FeedPosition;
import org.baobabspindle.port.FeedRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RecentPagesTests {
    private static final Moment START = new Moment(0, 0);

    private final LongContents contents = new LongContents();
    private final RecentPages recent = new RecentPages(Duration.ofSeconds(2));

    private static FeedPosition at(long offset) {
        return new FeedPosition(0, offset);
    }

    private static FeedPage page(long from, int count) {
        List<FeedRecord> records = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            records.add(new FeedRecord("s" + (from + i), Optional.of(new byte[] {1})));
        }
        return new FeedPage(records, at(from + count), false);
    }

    private void add(FeedPosition from, FeedPage page, Moment provenAt) {
        recent.add(from, new RelayedPage(page, Optional.of(provenAt)));
    }

    private Optional<FeedPage> after(FeedPosition from, Moment now) {
        return recent.after(from, now).map(RelayedPage::page);
    }

    private static List<String> keys(FeedPage page) {
        return page.records().stream().map(FeedRecord::key).toList();
    }

    @Test
    void returnsRecordsAfterPosition() {
        add(at(10), page(10, 2), START);
        add(at(12), page(12, 1), START);
        FeedPage result = after(at(12), START).orElseThrow();
        assertThat(keys(result)).containsExactly("s12");
        assertThat(result.next()).isEqualTo(at(13));
    }

    @Test
    void skipsRecordsBeforePositionWithinPage() {
        add(at(10), page(10, 3), START);
        FeedPage result = after(at(11), START).orElseThrow();
        assertThat(keys(result)).containsExactly("s11", "s12").inOrder();
        assertThat(result.next()).isEqualTo(at(13));
    }

    /** Some record after the position may be at any place in the page. */
    @Test
    void returnsWholePageIfItsRecordsHaveNoOffsetsOfTheirOwn() {
        add(at(10), new FeedPage(page(10, 3).records(), at(20), false), START);
        assertThat(keys(after(at(12), START).orElseThrow())).containsExactly("s10", "s11", "s12");
    }

    /** The age of a page adds up over the entries that it passes. */
    @Test
    void proofOfARelayedPageIsThatOfTheStore() {
        add(at(10), page(10, 1), START);
        Moment later = START.plus(Duration.ofMillis(700));
        PeerMessage.FeedAnswer answer =
                StoreRecords.toMessage(recent.after(at(10), later).orElseThrow(), later, Optional.empty(), contents);
        Moment requestedAt = later.minus(Duration.ofMillis(100));
        RelayedPage received = StoreRecords.toPage(answer, requestedAt, Optional.empty(), contents);
        assertThat(received.provenAt().orElseThrow().isBefore(START)).isTrue();
        assertThat(requestedAt.since(received.provenAt().orElseThrow())).isAtLeast(Duration.ofMillis(700));
    }

    /** Further records may have been in the store when it was asked. */
    @Test
    void partOfWhatIsAvailableProvesNothing() {
        for (int i = 0; i < 5; i++) {
            add(at(100L * i), page(100L * i, 100), START);
        }
        assertThat(recent.after(at(0), START).orElseThrow().provenAt()).isEqualTo(Optional.empty());
        assertThat(recent.after(at(100), START).orElseThrow().provenAt()).isEqualTo(Optional.of(START));
    }

    @Test
    void laterPageWithoutProofOrWithAnEarlierOneDoesNotChangeTheAge() {
        add(at(10), page(10, 1), START.plus(Duration.ofSeconds(1)));
        add(at(11), page(11, 1), START);
        recent.add(at(12), new RelayedPage(page(12, 1), Optional.empty()));
        assertThat(after(at(10), START.plus(Duration.ofSeconds(3)))).isNotEqualTo(Optional.empty());
        assertThat(after(at(10), START.plus(Duration.ofMillis(3_001)))).isEqualTo(Optional.empty());
    }

    @Test
    void returnsEmptyPageIfPositionIsAhead() {
        add(at(10), page(10, 2), START);
        FeedPage result = after(at(15), START).orElseThrow();
        assertThat(result.records()).isEmpty();
        assertThat(result.next()).isEqualTo(at(15));
    }

    @Test
    void emptyPageRefreshesAgeOfLastRead() {
        add(at(10), page(10, 2), START);
        Moment later = START.plus(Duration.ofSeconds(10));
        assertThat(after(at(12), later)).isEqualTo(Optional.empty());
        add(at(12), page(12, 0), later);
        assertThat(after(at(12), later).orElseThrow().records()).isEmpty();
    }

    @Test
    void returnsNothingForPositionBeforeFirstPage() {
        add(at(10), page(10, 2), START);
        assertThat(after(at(9), START)).isEqualTo(Optional.empty());
    }

    @Test
    void returnsNothingForPositionOfAnotherEra() {
        add(at(10), page(10, 2), START);
        assertThat(after(new FeedPosition(1, 10), START)).isEqualTo(Optional.empty());
    }

    @Test
    void discardsAllPagesInANewEra() {
        add(at(10), page(10, 2), START);
        add(at(12), new FeedPage(List.of(), new FeedPosition(1, 12), false), START);
        assertThat(after(at(10), START)).isEqualTo(Optional.empty());
        assertThat(after(new FeedPosition(1, 12), START)).isEqualTo(Optional.empty());
    }

    @Test
    void discardsEarlierPagesAfterGap() {
        add(at(10), page(10, 2), START);
        add(at(20), page(20, 2), START);
        assertThat(after(at(11), START)).isEqualTo(Optional.empty());
        assertThat(keys(after(at(20), START).orElseThrow())).containsExactly("s20", "s21");
    }

    @Test
    void discardsOldestPagesAndSplitsLongResponses() {
        long at = 0;
        for (int i = 0; i < 100; i++) {
            add(at(at), page(at, 100), START);
            at += 100;
        }
        assertThat(after(at(0), START)).isEqualTo(Optional.empty());
        long from = at - 4_000;
        int answers = 0;
        while (from < at) {
            from = after(at(from), START).orElseThrow().next().offset();
            answers++;
        }
        assertThat(answers).isEqualTo(10);
    }

    /** Followers that are some versions behind would get all of them, and a long configuration fills their links. */
    @Test
    void returnsOnlyTheNewestRecordOfEachKey() {
        add(at(10), page(10, 2), START);
        FeedRecord newer = new FeedRecord("s10", Optional.of(new byte[] {2}));
        add(at(12), new FeedPage(List.of(newer), at(13), false), START);
        FeedPage result = after(at(10), START).orElseThrow();
        assertThat(keys(result)).containsExactly("s11", "s10").inOrder();
        assertThat(result.records().get(1)).isEqualTo(newer);
        assertThat(result.next()).isEqualTo(at(13));
    }

    @Test
    void keepsOnlyTheNewestOfLongRecordsButServesEveryPositionBeforeIt() {
        for (int i = 0; i < 3; i++) {
            FeedRecord longRecord = new FeedRecord("long", Optional.of(new byte[10_000 + i]));
            add(at(i), new FeedPage(List.of(longRecord), at(i + 1), false), START);
        }
        for (int from = 0; from < 3; from++) {
            FeedPage result = after(at(from), START).orElseThrow();
            assertThat(result.records().get(0).value().orElseThrow()).hasLength(10_002);
            assertThat(result.records()).hasSize(1);
            assertThat(result.next()).isEqualTo(at(3));
        }
    }

    @Nested
    class MessageConversion {
        @Test
        void preservesArbitraryBytesAndRemovals() {
            byte[] allBytes = new byte[256];
            for (int i = 0; i < allBytes.length; i++) {
                allBytes[i] = (byte) i;
            }
            FeedPage page = new FeedPage(
                    List.of(
                            new FeedRecord("a", Optional.of(allBytes)),
                            new FeedRecord("b", Optional.of("é".getBytes(StandardCharsets.UTF_8))),
                            new FeedRecord("c", Optional.empty())),
                    at(7),
                    false);
            FeedPage converted = StoreRecords.toPage(StoreRecords.toMessage(page));
            assertThat(converted.next()).isEqualTo(at(7));
            assertThat(converted.records().get(0).value().orElseThrow()).isEqualTo(allBytes);
            assertThat(converted.records().get(1).value().orElseThrow())
                    .isEqualTo("é".getBytes(StandardCharsets.UTF_8));
            assertThat(converted.records().get(2).value()).isEqualTo(Optional.empty());
        }
    }
}
