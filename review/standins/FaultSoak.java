package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Steady callers on kept connections while runners spoil answers, stand still and lose connections, and entries are stopped,
 * ended and replaced, all drawn from a seed. Compares what callers were told with what runners ran.
 */
final class FaultSoak extends Soak implements Surroundings {
    private static final int QUEUE = 1;
    private static final int WORK_MILLIS = 25;
    private static final int STEADY_MILLIS = 2_000;
    private static final int PAUSE_MILLIS = 800;
    private static final int MIN_WHOLE = 50;

    private final int seconds;
    private final boolean trouble;
    private final List<FaultyRunner> runners = new ArrayList<>();
    private final Map<String, Disturbances> disturbances = new ConcurrentHashMap<>();
    private final Random streamRandom;
    private final StreamSoak.Setting streamSetting;
    private final PlainSoak plain;
    private boolean signals;
    private EngineFleet fleet;
    private Operator operator;
    private StreamSoak streams;

    private FaultSoak(Deployment deployment, Record record, long seed, int seconds, boolean trouble) {
        super(deployment, record, new Random(seed));
        this.seconds = seconds;
        this.trouble = trouble;
        this.streamRandom = new Random(seed * 7_919);
        this.streamSetting = StreamSoak.Setting.draw(streamRandom, trouble);
        this.plain = new PlainSoak(deployment, record, this);
    }

    /** Arguments: the record, the seed, the seconds of the play. */
    public static void main(String[] args) {
        Deployment.run(Path.of(args[0]), (d, record, trouble) -> {
            long seed = Long.parseLong(args[1]);
            return new FaultSoak(d, record, seed, Integer.parseInt(args[2]), trouble).play(seed);
        });
    }

    private int play(long seed) throws Exception {
        PlainSoak.Setting setting = PlainSoak.Setting.draw(random);
        String title = "seed " + seed + ": " + setting + " " + streamSetting;
        record.write(title);
        signals = setting.signals();
        start(setting, seed);
        Thread.sleep(STEADY_MILLIS);
        List<Thread> callers = new ArrayList<>(plain.callers(seed));
        callers.addAll(streams.callers(seed));
        callers.forEach(Thread::start);
        disturbBeside(callers, seconds, PAUSE_MILLIS, trouble);
        fleet.end();
        boolean streamsBroken = streams.judge();
        int exit = plain.judge(title + ", engines spoiled " + fleet.spoiled(), runners);
        return streamsBroken ? 1 : exit == 0 && streams.whole() < MIN_WHOLE ? 2 : exit;
    }

    private void start(PlainSoak.Setting setting, long seed) throws Exception {
        for (int i = 0; i < setting.runners(); i++) {
            FaultyRunner runner = new FaultyRunner(
                    deployment.store,
                    record,
                    "i-book" + i,
                    setting.slots(),
                    QUEUE,
                    WORK_MILLIS,
                    setting.habits(i, trouble),
                    seed * 31 + i);
            runner.setCuts(cuts);
            runner.register();
            runners.add(runner);
        }
        new ServiceRunner(deployment.store, record, "i-alt", "booking-alt", setting.slots(), QUEUE, WORK_MILLIS).register();
        EngineRunner.Pace pace = streamSetting.pace();
        fleet = new EngineFleet(deployment, record, streamSetting.habits(), pace, cuts, seed);
        fleet.start(streamSetting.engines(), streamSetting.ownProcesses());
        operator = new Operator(
                deployment,
                record,
                PlainSoak.BUDGET_MILLIS,
                setting.attempts(),
                streamSetting.attempts(),
                EngineRunner.service("pool", pace));
        operator.write();
        deployment.setStallMillis(pace.stallMillis());
        streams = new StreamSoak(deployment, record, operator, this);
        String entries = System.getenv("ENTRIES");
        int count = entries == null ? setting.entries() : Integer.parseInt(entries);
        for (int i = 0; i < count; i++) {
            Deployment.Entry e = deployment.startEntry("entry-" + i);
            serving.put(e.name(), e);
            disturbances.put(e.name(), new Disturbances());
        }
    }

    @Override
    void disturb(int number) throws Exception {
        FaultyRunner runner = runners.get(random.nextInt(runners.size()));
        int millis = 50 + random.nextInt(1_500);
        Deployment.Entry entry = entries().get(random.nextInt(serving.size()));
        switch (random.nextInt(signals ? 7 : 3)) {
            case 0 -> runner.standStill(millis);
            case 1 -> runner.loseConnections(millis / 4);
            case 3 -> inBackground(() -> stop(entry, millis));
            case 4 -> inBackground(() -> replace(entry, true));
            case 5 -> inBackground(() -> replace(entry, false));
            default -> {}
        }
        disturbStreams();
    }

    /** Disturbs engines, their links to entries, or the configuration. */
    private void disturbStreams() throws Exception {
        switch (streamRandom.nextInt(8)) {
            case 0 -> {
                Background.Step rest = fleet.disturb(streamRandom);
                inBackground(rest);
            }
            case 1 -> operator.change(streamRandom);
            case 2 -> {
                List<String> names = new ArrayList<>(new TreeMap<>(disturbances).keySet());
                String entry = names.get(streamRandom.nextInt(names.size()));
                Cuts.Way way = Cuts.Way.values()[streamRandom.nextInt(Cuts.Way.values().length)];
                int millis = 100 + streamRandom.nextInt(3_000);
                inBackground(() -> cutOff(entry, way, millis));
            }
            default -> {}
        }
    }

    private void cutOff(String entry, Cuts.Way way, int millis) throws Exception {
        disturbances.get(entry).begin();
        record.write("entry " + entry + " does not reach runners for " + millis + " ms: " + way);
        cuts.begin(entry, way, millis);
        Thread.sleep(millis);
        disturbances.get(entry).end(record.seconds());
    }

    private void stop(Deployment.Entry e, int millis) throws Exception {
        disturbances.get(e.name()).begin();
        deployment.pause(e, millis);
        disturbances.get(e.name()).end(record.seconds());
    }

    /** Ends an entry and starts it again; at most one at a time, and never the last one. */
    private synchronized void replace(Deployment.Entry e, boolean gracefully) throws Exception {
        if (ending || serving.size() < 2 || !serving.remove(e.name(), e)) {
            return;
        }
        disturbances.get(e.name()).begin();
        record.write("entry " + e.name() + (gracefully ? " is asked to end" : " is killed"));
        if (gracefully) {
            e.process().destroy();
        } else {
            e.process().destroyForcibly();
        }
        deployment.awaitEnd(e);
        Deployment.Entry next = deployment.restart(e);
        disturbances.get(e.name()).replaced(record.seconds());
        serving.put(e.name(), next);
        disturbances.get(e.name()).end(record.seconds());
    }

    @Override
    public Deployment.Entry entry(int caller, Random own) {
        List<Deployment.Entry> all = entries();
        return all.get((caller + own.nextInt(4) / 3) % all.size());
    }

    @Override
    public boolean owesAnswer(Deployment.Entry e, double sentAt, double openedAt) {
        return disturbances.get(e.name()).owesAnswer(sentAt, openedAt);
    }

    @Override
    public boolean ending() {
        return ending;
    }
}
