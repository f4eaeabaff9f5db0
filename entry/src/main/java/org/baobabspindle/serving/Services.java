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
public final class Services {
    private static final double RETRIES_PER_REQUEST = 0.1;
    private static final double MOST_RETRIES = 10;
    private static final Duration POLL = Duration.ofMillis(50);

    private final EntryTables tables;
    private final AccountTokens tokens;
    private final Admission admission;
    private final RequestService requests;

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
    public Services(
            EntryTables tables,
            GroupTimings timings,
            int maxRunningPerGroup,
            Clients clients,
            Appends appends,
            RequestService.Forwarder forwarder,
            AccountTokens.Homes homes,
            GroupRefresh refresh,
            RandomGenerator random) {
        this.tables = tables;
        this.tokens = new AccountTokens(tables, homes);
        this.admission = new Admission(tables, tokens, random);
        RetryBudget budget = new RetryBudget(RETRIES_PER_REQUEST, MOST_RETRIES);
        GroupChoice choice = new GroupChoice(tables, timings, new Router(maxRunningPerGroup));
        CrashWatch crashes = new CrashWatch(tables, clients.engines(), appends);
        Work chat = new ChatWork(tables, choice, refresh, clients.completions(), crashes, budget, random);
        Work calls = new ServiceWork(tables, clients.services(), budget, random);
        this.requests = new RequestService(
                tables, admission, appends, forwarder, r -> r.path().startsWith(ServiceWork.PATH) ? calls : chat);
    }

    /**
     * The backend servers as peers.
     *
     * @param engines asks and orders model engines
     * @param completions runs completions
     * @param services calls plain services
     */
    public record Clients(EngineClient engines, CompletionClient completions, ServiceClient services) {}

    /**
     * Returns what serves requests.
     *
     * @return the service
     */
    public RequestService requests() {
        return requests;
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
    public Optional<String> whyNotReady() {
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
