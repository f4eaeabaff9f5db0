package org.baobabspindle.serving;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.baobabspindle.application.ServiceClient;
import org.baobabspindle.core.configuration.AccountSetting;
import org.baobabspindle.core.group.GroupTimings;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.request.RetryBudget;
import org.baobabspindle.core.request.Router;
import org.baobabspindle.runner.CompletionClient;
import org.baobabspindle.runner.EngineClient;

/** Puts the parts together that serve requests. */
public final class RequestPipeline {
    private static final double RETRIES_PER_REQUEST = 0.1;
    private static final double MOST_RETRIES = 10;
    private static final Duration POLL = Duration.ofMillis(50);

    private final EntryTables tables;
    private final AccountRateLimiter tokens;
    private final Admission admission;
    private final RequestService requestService;

    /**
     * Puts the parts together.
     *
     * @param tables the shared tables
     * @param timings the times that group decisions go by
     * @param maxRunningPerGroup the most requests given to a group at once
     * @param clients the backend servers as peers
     * @param appends appends to the log
     * @param forwarder hands requests to other entries
     * @param homes asks the homes of client accounts
     * @param refresh asks the members of groups at once
     * @param random the source of spread
     */
    public RequestPipeline(
            EntryTables tables,
            GroupTimings timings,
            int maxRunningPerGroup,
            BackendClients clients,
            RecordAppender appends,
            RequestService.Forwarder forwarder,
            AccountRateLimiter.HomeClient homes,
            GroupProber refresh,
            RandomGenerator random) {
        this.tables = tables;
        this.tokens = new AccountRateLimiter(tables, homes);
        this.admission = new Admission(tables, tokens, random);
        RetryBudget budget = new RetryBudget(RETRIES_PER_REQUEST, MOST_RETRIES);
        GroupSelector choice = new GroupSelector(tables, timings, new Router(maxRunningPerGroup));
        CrashAttribution crashes = new CrashAttribution(tables, clients.engines(), appends);
        RequestExecutor chat =
                new ChatExecutor(tables, choice, refresh, clients.completions(), crashes, budget, random);
        RequestExecutor calls = new ServiceCallExecutor(tables, clients.services(), budget, random);
        this.requestService = new RequestService(
                tables,
                admission,
                appends,
                forwarder,
                r -> r.path().startsWith(ServiceCallExecutor.PATH) ? calls : chat);
    }

    /**
     * The backend servers as peers.
     *
     * @param engines asks and orders model engines
     * @param completions runs completions
     * @param services calls plain services
     */
    public record BackendClients(EngineClient engines, CompletionClient completions, ServiceClient services) {}

    /**
     * Returns what serves requests.
     *
     * @return the service
     */
    public RequestService requestService() {
        return requestService;
    }

    /**
     * Grants tokens of a client account whose home is this entry.
     *
     * @param account the client account
     * @param wanted the tokens wanted
     * @return the tokens granted; none if the account is not known
     */
    public int grant(ClientAccountId account, int wanted) {
        Instant now = tables.clock().instant();
        Optional<AccountSetting> setting = tables.log()
                .with(v ->
                        Optional.ofNullable(v.state().configuration().accounts().get(account.value())));
        return setting.map(s -> tokens.grant(now, account, s.requestsPerSecond(), wanted))
                .orElse(0);
    }

    /**
     * Tells whether this entry takes on requests now.
     *
     * @return why not, or empty if it does
     */
    public Optional<String> notReadyReason() {
        return admission.checkEntry(tables.clock().instant()).map(Object::toString);
    }

    /** Takes on no further request. */
    public void close() {
        admission.close();
    }

    /**
     * Waits until a count of requests in progress is zero.
     *
     * @param inProgress the count
     * @param most how long to wait
     * @return whether it became zero
     */
    public boolean awaitIdle(IntSupplier inProgress, Duration most) {
        long until = System.nanoTime() + most.toNanos();
        while (inProgress.getAsInt() > 0) {
            if (System.nanoTime() > until) {
                return false;
            }
            try {
                Thread.sleep(POLL.toMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return true;
    }
}
