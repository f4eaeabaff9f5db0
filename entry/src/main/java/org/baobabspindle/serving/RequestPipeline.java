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

/** Wires up the components that serve requests. */
public final class RequestPipeline {
    private static final double RETRIES_PER_REQUEST = 0.1;
    private static final double MAX_SAVED_RETRIES = 10;
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private final EntryTables tables;
    private final AccountRateLimiter rateLimiter;
    private final Admission admission;
    private final RequestService requestService;

    /**
     * Creates the components.
     *
     * @param tables the shared tables
     * @param timings the timings of group decisions
     * @param maxRunningPerGroup the maximum number of concurrent requests of a group
     * @param clients the clients of the backend servers
     * @param recordAppender appends records to the log
     * @param logReader has this entry read the log
     * @param forwarder forwards requests to other entries
     * @param homeClient requests tokens from the home entries of client accounts
     * @param prober probes the members of groups on demand
     * @param random the source of random jitter
     */
    public RequestPipeline(
            EntryTables tables,
            GroupTimings timings,
            int maxRunningPerGroup,
            BackendClients clients,
            RecordAppender recordAppender,
            LogReader logReader,
            RequestService.Forwarder forwarder,
            AccountRateLimiter.HomeClient homeClient,
            GroupProber prober,
            RandomGenerator random) {
        this.tables = tables;
        this.rateLimiter = new AccountRateLimiter(tables, homeClient);
        this.admission = new Admission(tables, rateLimiter, random);
        RetryBudget retryBudget = new RetryBudget(RETRIES_PER_REQUEST, MAX_SAVED_RETRIES);
        GroupSelector selector = new GroupSelector(tables, timings, new Router(maxRunningPerGroup));
        CrashAttribution crashAttribution = new CrashAttribution(tables, clients.engines(), recordAppender);
        RequestExecutor chatExecutor = new ChatExecutor(
                tables, selector, prober, clients.completions(), crashAttribution, retryBudget, random);
        RequestExecutor serviceExecutor = new ServiceCallExecutor(tables, clients.services(), retryBudget, random);
        this.requestService = new RequestService(
                tables,
                admission,
                recordAppender,
                logReader,
                forwarder,
                r -> r.path().startsWith(ServiceCallExecutor.PATH_PREFIX) ? serviceExecutor : chatExecutor);
    }

    /**
     * The HTTP clients of the backend servers.
     *
     * @param engines requests reports from model engines and sends them orders
     * @param completions runs completions
     * @param services calls plain services
     */
    public record BackendClients(EngineClient engines, CompletionClient completions, ServiceClient services) {}

    /**
     * Returns the service that serves requests.
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
     * @param requested the number of tokens requested
     * @return the number of tokens granted; 0 if the account is unknown
     */
    public int grant(ClientAccountId account, int requested) {
        Instant now = tables.clock().instant();
        Optional<AccountSetting> setting = tables.log()
                .with(v ->
                        Optional.ofNullable(v.state().configuration().accounts().get(account.value())));
        return setting.map(s -> rateLimiter.grant(now, account, s.requestsPerSecond(), requested))
                .orElse(0);
    }

    /**
     * Returns why this entry does not accept requests now.
     *
     * @return the reason, or empty if the entry accepts requests
     */
    public Optional<String> notReadyReason() {
        return admission.checkReadiness(tables.clock().instant()).map(Object::toString);
    }

    /** Rejects all further requests. */
    public void close() {
        admission.close();
    }

    /**
     * Waits until no request is in progress.
     *
     * @param inProgress returns the number of requests in progress
     * @param timeout the maximum time to wait
     * @return whether the number became 0; false on timeout or interruption
     */
    public boolean awaitIdle(IntSupplier inProgress, Duration timeout) {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        while (inProgress.getAsInt() > 0) {
            if (System.nanoTime() > deadlineNanos) {
                return false;
            }
            try {
                Thread.sleep(POLL_INTERVAL.toMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return true;
    }
}
