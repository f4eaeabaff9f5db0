package org.baobabspindle.node;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
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
import org.baobabspindle.serving.RequestPipeline;

/** Answers the questions of other entries. */
final class PeerRequestResponder implements Function<PeerMessage, PeerMessage> {
    private static final int MAX_FORWARDED_BYTES = 4 * 1024 * 1024;

    /** A read of the log and its replay take a few milliseconds; the asking entry waits a little longer. */
    private static final Duration LOG_READ_WAIT = Duration.ofMillis(400);

    private static final long LOG_READ_CHECK_MILLIS = 5;

    private final EntryTables tables;
    private final RequestPipeline services;
    private final AtomicInteger inProgress;
    private final Runnable readNow;

    PeerRequestResponder(EntryTables tables, RequestPipeline services, AtomicInteger inProgress, Runnable readNow) {
        this.tables = tables;
        this.services = services;
        this.inProgress = inProgress;
        this.readNow = readNow;
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
            return countForwarded(f);
        }
        if (ask instanceof PeerMessage.LogReadAsk l) {
            return readLog(l);
        }
        if (ask instanceof PeerMessage.TokensAsk t) {
            return new PeerMessage.TokensAnswer(services.grant(t.account(), t.wanted()));
        }
        return new PeerMessage.Failed("not a question: " + ask.getClass().getSimpleName());
    }

    /** Reads the log at once and answers when it has been replayed that far, or after a while. */
    private PeerMessage readLog(PeerMessage.LogReadAsk ask) {
        readNow.run();
        long end = System.nanoTime() + LOG_READ_WAIT.toNanos();
        while (tables.log().with(v -> v.state().nextOffset()).compareTo(ask.upTo()) < 0 && System.nanoTime() < end) {
            try {
                TimeUnit.MILLISECONDS.sleep(LOG_READ_CHECK_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
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
                Optional<GroupAssessment> found =
                        group.flatMap(x -> g.keeper().assess(now, g.keeperView(v.state(), false), x));
                found.ifPresent(a -> digests.add(digest(now, a)));
            }
        }));
        return new PeerMessage.GroupsAnswer(digests);
    }

    private static PeerMessage.GroupDigest digest(Instant now, GroupAssessment a) {
        long age =
                a.confirmedAsOf().map(c -> Duration.between(c, now).toMillis()).orElse(0L);
        return new PeerMessage.GroupDigest(a.group(), a.lifecycle(), age, a.running());
    }

    /** Requests of other entries are in progress here too, so a stop waits for them. */
    private PeerMessage countForwarded(PeerMessage.ForwardAsk ask) {
        inProgress.incrementAndGet();
        try {
            return forwarded(ask);
        } finally {
            inProgress.decrementAndGet();
        }
    }

    private PeerMessage forwarded(PeerMessage.ForwardAsk ask) {
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
        Outcome outcome = services.requestService().serveForwarded(request, sink);
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
