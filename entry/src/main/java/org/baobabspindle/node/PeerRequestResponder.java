package org.baobabspindle.node;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.baobabspindle.caller.Problem;
import org.baobabspindle.core.freshness.VersionVector;
import org.baobabspindle.core.group.GroupAssessment;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.RequestKey;
import org.baobabspindle.core.log.Group;
import org.baobabspindle.core.request.Outcome;
import org.baobabspindle.core.request.StoredAnswer;
import org.baobabspindle.http.Hashes;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.serving.BufferingResponseSink;
import org.baobabspindle.serving.CallerRequest;
import org.baobabspindle.serving.EntryTables;
import org.baobabspindle.serving.LogReader;
import org.baobabspindle.serving.RequestPipeline;

/** Answers the requests of other entries. */
final class PeerRequestResponder implements Function<PeerMessage, PeerMessage> {
    private static final int MAX_FORWARDED_BYTES = 4 * 1024 * 1024;

    /**
     * A read of the log and its replay take a few milliseconds; the requesting entry waits somewhat longer than this.
     */
    private static final Duration LOG_READ_TIMEOUT = Duration.ofMillis(400);

    private final EntryTables tables;
    private final RequestPipeline pipeline;
    private final AtomicInteger inProgress;
    private final LogReader logReader;

    PeerRequestResponder(EntryTables tables, RequestPipeline pipeline, AtomicInteger inProgress, LogReader logReader) {
        this.tables = tables;
        this.pipeline = pipeline;
        this.inProgress = inProgress;
        this.logReader = logReader;
    }

    @Override
    public PeerMessage apply(PeerMessage ask) {
        if (ask instanceof PeerMessage.VersionAsk v) {
            return versions(v);
        }
        if (ask instanceof PeerMessage.GroupsAsk g) {
            return groups(g);
        }
        if (ask instanceof PeerMessage.ForwardAsk f) {
            return serveForwardedCounted(f);
        }
        if (ask instanceof PeerMessage.LogReadAsk l) {
            return readLog(l);
        }
        if (ask instanceof PeerMessage.TokensAsk t) {
            return new PeerMessage.TokensAnswer(pipeline.grant(t.account(), t.wanted()));
        }
        return new PeerMessage.Failed("not a question: " + ask.getClass().getSimpleName());
    }

    /**
     * Reads the log at once; answers when this entry has replayed it up to the requested offset, or after a timeout.
     */
    private PeerMessage readLog(PeerMessage.LogReadAsk ask) {
        logReader.readUntil(
                () -> tables.log().with(v -> v.state().nextOffset()).compareTo(ask.upTo()) >= 0, LOG_READ_TIMEOUT);
        return new PeerMessage.Noted();
    }

    private PeerMessage versions(PeerMessage.VersionAsk ask) {
        VersionVector vector = tables.log().with(v -> VersionVector.of(v.state(), ask.region()));
        return new PeerMessage.VersionAnswer(tables.id(), vector.configuration(), vector.membership());
    }

    private PeerMessage groups(PeerMessage.GroupsAsk ask) {
        Instant now = tables.clock().instant();
        List<PeerMessage.GroupDigest> digests = new ArrayList<>();
        tables.log().use(v -> tables.groups().use(g -> {
            for (GroupId id : ask.groups()) {
                Optional<Group> group = v.state().groupState().group(id);
                Optional<GroupAssessment> assessment =
                        group.flatMap(x -> g.keeper().assess(now, g.keeperView(v.state(), false), x));
                assessment.ifPresent(a -> digests.add(digest(now, a)));
            }
        }));
        return new PeerMessage.GroupsAnswer(digests);
    }

    private static PeerMessage.GroupDigest digest(Instant now, GroupAssessment a) {
        long age =
                a.confirmedAsOf().map(c -> Duration.between(c, now).toMillis()).orElse(0L);
        return new PeerMessage.GroupDigest(a.group(), a.lifecycle(), age, a.running());
    }

    /** Counts a forwarded request as in progress, so that a graceful shutdown waits for it. */
    private PeerMessage serveForwardedCounted(PeerMessage.ForwardAsk ask) {
        inProgress.incrementAndGet();
        try {
            return serveForwarded(ask);
        } finally {
            inProgress.decrementAndGet();
        }
    }

    private PeerMessage serveForwarded(PeerMessage.ForwardAsk ask) {
        CallerRequest request = new CallerRequest(
                ask.account(),
                Optional.of(RequestKey.of(ask.key())),
                ask.method(),
                ask.path(),
                ask.contentType(),
                ask.body(),
                Hashes.sha256(ask.method() + '\n' + ask.path() + '\n' + ask.body()),
                tables.clock().instant().plusMillis(ask.deadlineMillis()));
        BufferingResponseSink sink = new BufferingResponseSink(Optional.empty(), MAX_FORWARDED_BYTES);
        Outcome outcome = pipeline.requestService().serveForwarded(request, sink);
        if (outcome instanceof Outcome.Completed && sink.storedAnswer().isPresent()) {
            StoredAnswer answer = sink.storedAnswer().get();
            String body = new String(answer.body(), StandardCharsets.UTF_8);
            return new PeerMessage.ForwardAnswer(answer.status(), answer.contentType(), body, 0);
        }
        Problem problem = outcome instanceof Outcome.Completed
                ? Problem.of(new Outcome.Unknown("the request was run and its answer is too large to pass on"))
                : Problem.of(outcome);
        return new PeerMessage.ForwardAnswer(
                problem.status(), Problem.MEDIA_TYPE, problem.toJson().toString(), problem.retryAfterSeconds());
    }
}
