package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.port.Feed;
import org.baobabspindle.port.FeedPage;
import org.baobabspindle.port.FeedPosition;
import org.baobabspindle.port.FeedRecord;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/** Tests how entries send each other long configurations. */
class ContentExchangeTests {
    private static final Moment NOW = new Moment(0, 0);
    private static final FeedPosition START = new FeedPosition(1, 7);

    private Optional<FeedRecord> held = Optional.empty();
    private final ContentExchange receiver = new ContentExchange(() -> held);
    private Optional<FeedRecord> followed = Optional.of(configuration(1));
    private final ContentExchange sender = new ContentExchange(() -> followed);

    /** Returns a record of about 32 kB that begins with its version. */
    private static FeedRecord configuration(int version) {
        String text = version + " route ".repeat(4_000) + "ä";
        return new FeedRecord("configuration", Optional.of(text.getBytes(StandardCharsets.UTF_8)));
    }

    private static byte[] content(FeedRecord r) {
        return r.value().orElseThrow();
    }

    private RelayedPage pageOf(FeedRecord... records) {
        return new RelayedPage(new FeedPage(List.of(records), new FeedPosition(1, 9), false), Optional.of(NOW));
    }

    private FeedPage restored(ContentExchange.FeedRequest request, PeerMessage.FeedAnswer answer) {
        return request.page(answer, NOW).orElseThrow().page();
    }

    @Test
    void longRecordOfAFeedIsSentCompressed() {
        ContentExchange.FeedRequest request = receiver.request(Feed.CONFIGURATION, START);
        FeedRecord evacuation = new FeedRecord("zone", Optional.of(new byte[] {1}));
        PeerMessage.FeedAnswer answer = sender.answer(request.message(), pageOf(evacuation, configuration(1)), NOW);
        assertThat(answer.records().get(1).content()).isEmpty();
        assertThat(answer.longContents().get(0).compressed().remaining()).isLessThan(1_000);
        List<FeedRecord> records = restored(request, answer).records();
        assertThat(content(records.get(0))).isEqualTo(new byte[] {1});
        assertThat(content(records.get(1))).isEqualTo(content(configuration(1)));
    }

    /** The feed follows the exchange of states, which has brought the same version already. */
    @Test
    void contentThatTheReceiverHoldsIsNotSent() {
        held = Optional.of(configuration(1));
        ContentExchange.FeedRequest request = receiver.request(Feed.CONFIGURATION, START);
        PeerMessage.FeedAnswer answer = sender.answer(request.message(), pageOf(configuration(1)), NOW);
        assertThat(answer.longContents().get(0).compressed()).isNull();
        held = Optional.of(configuration(2));
        assertThat(content(restored(request, answer).records().get(0))).isEqualTo(content(configuration(1)));
    }

    @Test
    void entryOfAnEarlierReleaseGetsRecordsAsTheyAre() {
        PeerMessage.FeedAsk request = new PeerMessage.FeedAsk(Feed.CONFIGURATION.name(), 1, 7, null);
        PeerMessage.FeedAnswer answer = sender.answer(request, pageOf(configuration(1)), NOW);
        assertThat(answer.longContents()).isEmpty();
        assertThat(answer.records().get(0).content())
                .isEqualTo(new String(content(configuration(1)), StandardCharsets.ISO_8859_1));
        PeerMessage.ConfigurationAnswer configuration = sender.answer(new PeerMessage.ConfigurationAsk(null));
        assertThat(configuration.content()).isNull();
        assertThat(configuration.text()).isEqualTo(new String(content(configuration(1)), StandardCharsets.UTF_8));
        assertThat(receiver.requestConfiguration(false).held()).isNull();
    }

    @Test
    void configurationIsSentCompressed() throws Exception {
        PeerMessage.ConfigurationAnswer sent = sender.answer(receiver.requestConfiguration(true));
        ObjectMapper mapper = new MessagePackMapper();
        PeerMessage.ConfigurationAnswer answer =
                mapper.readValue(mapper.writeValueAsBytes(sent), PeerMessage.ConfigurationAnswer.class);
        assertThat(answer.text()).isEmpty();
        FeedRecord restored = receiver.record(answer);
        assertThat(restored.key()).isEqualTo("configuration");
        assertThat(content(restored)).isEqualTo(content(configuration(1)));
    }

    @Test
    void shortConfigurationIsSentAsItIs() {
        followed = Optional.of(new FeedRecord("configuration", Optional.of(new byte[] {'7'})));
        PeerMessage.ConfigurationAnswer answer = sender.answer(receiver.requestConfiguration(true));
        assertThat(answer.text()).isEqualTo("7");
        assertThat(content(receiver.record(answer))).isEqualTo(new byte[] {'7'});
    }

    @Test
    void contentsThatCannotBeRestoredAreRefused() {
        PeerMessage.LongContent sound =
                sender.answer(receiver.requestConfiguration(true)).content();
        ByteBuffer half =
                sound.compressed().duplicate().limit(sound.compressed().remaining() / 2);
        for (PeerMessage.LongContent c : List.of(
                new PeerMessage.LongContent(0, sound.digest(), half),
                new PeerMessage.LongContent(0, sound.digest(), ByteBuffer.wrap(new byte[] {1, 2, 3})),
                new PeerMessage.LongContent(0, sound.digest(), null),
                new PeerMessage.LongContent(0, "other", sound.compressed()))) {
            PeerMessage.ConfigurationAnswer answer = new PeerMessage.ConfigurationAnswer("configuration", "", c);
            assertThrows(LongContents.InvalidContentException.class, () -> receiver.record(answer));
        }
    }

    @Test
    void pageWithAContentOfNoRecordIsNotUsed() {
        ContentExchange.FeedRequest request = receiver.request(Feed.CONFIGURATION, START);
        PeerMessage.LongContent content =
                sender.answer(receiver.requestConfiguration(true)).content();
        PeerMessage.FeedAnswer answer = new PeerMessage.FeedAnswer(List.of(), 1, 9, 0L, List.of(content));
        assertThat(request.page(answer, NOW)).isEqualTo(Optional.empty());
    }
}
