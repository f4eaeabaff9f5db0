package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The engines of a play, some in processes of their own, which crash and come back. */
final class EngineFleet {
    /** The platform removes the record of a silent runner after three heartbeats. */
    private static final int EXPIRY_MILLIS = 3_600;

    private static final int DRAIN_MILLIS = 2_500;
    private static final int MAX_DOWN_MILLIS = 1_500;

    private final Deployment deployment;
    private final Record record;
    private final FaultyEngine.Habits habits;
    private final EngineRunner.Pace pace;
    private final Cuts cuts;
    private final long seed;
    private final List<FaultyEngine> engines = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private final List<Path> records = new ArrayList<>();
    private final Map<FaultyEngine.Spoiling, Integer> spoiled =
            Collections.synchronizedMap(new EnumMap<>(FaultyEngine.Spoiling.class));
    private int lives;

    EngineFleet(
            Deployment deployment,
            Record record,
            FaultyEngine.Habits habits,
            EngineRunner.Pace pace,
            Cuts cuts,
            long seed) {
        this.deployment = deployment;
        this.record = record;
        this.habits = habits;
        this.pace = pace;
        this.cuts = cuts;
        this.seed = seed;
    }

    Map<FaultyEngine.Spoiling, Integer> spoiled() {
        return Map.copyOf(spoiled);
    }

    void start(int count, int ownProcesses) throws IOException {
        for (int i = 0; i < count; i++) {
            engines.add(start(new EngineRunner.Place("i-eng" + i, "pool", "zone-a", "domain-" + i * 2 / count), List.of()));
        }
        for (int i = 0; i < ownProcesses; i++) {
            processes.add(startProcess());
        }
    }

    private synchronized FaultyEngine start(EngineRunner.Place place, List<String> staged) throws IOException {
        FaultyEngine e = new FaultyEngine(
                deployment.store.address(), record, place, pace, staged, habits, seed * 53 + lives++, spoiled, this::replaceLater);
        e.setCuts(cuts);
        e.register();
        return e;
    }

    private synchronized Process startProcess() throws IOException {
        String id = "i-own" + lives++;
        Path file = Path.of("target", "fault-soak-" + seed + "-" + id + ".txt");
        records.add(file);
        return deployment.start(new ProcessBuilder(
                        "java", "-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp",
                        System.getProperty("java.class.path"), "review.EngineRunner", deployment.store.address(),
                        file.toString(), id, "pool", "zone-a", "domain-0")
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD));
    }

    /** Does something to an engine, for a while; returns what remains to be done later. */
    Background.Step disturb(Random random) throws Exception {
        int i = random.nextInt(engines.size());
        FaultyEngine e = engines.get(i);
        int downMillis = random.nextInt(MAX_DOWN_MILLIS);
        boolean sameId = random.nextBoolean();
        switch (random.nextInt(processes.isEmpty() ? 5 : 6)) {
            case 0 -> e.crash();
            case 1 -> e.crashWithReset();
            case 2 -> {
                e.standStill(100 + random.nextInt(3_000));
                return () -> {};
            }
            case 3 -> {
                e.loseConnections();
                return () -> {};
            }
            case 4 -> {
                e.drain();
                return () -> {
                    Thread.sleep(DRAIN_MILLIS);
                    e.crash();
                    e.expire();
                    replace(i, e, false, downMillis);
                };
            }
            default -> {
                Process p = processes.remove(0);
                p.destroyForcibly();
                record.write("an engine in a process of its own is killed");
                return () -> {
                    Thread.sleep(downMillis);
                    addProcess(startProcess());
                };
            }
        }
        return () -> replace(i, e, sameId, downMillis);
    }

    /** Replaces an engine that was killed by its own fault. */
    private void replaceLater(FaultyEngine killed) {
        Background.start(record, () -> replace(indexOf(killed), killed, true, MAX_DOWN_MILLIS));
    }

    private synchronized int indexOf(FaultyEngine e) {
        return engines.indexOf(e);
    }

    private synchronized void addProcess(Process p) {
        processes.add(p);
    }

    private void replace(int i, FaultyEngine ended, boolean sameId, int downMillis) throws Exception {
        Thread.sleep(downMillis);
        synchronized (this) {
            if (i < 0 || engines.get(i) != ended) {
                return;
            }
        }
        EngineRunner.Place was = ended.place;
        String id = sameId ? was.id() : was.id().replaceAll("r\\d*$", "") + "r" + lives;
        FaultyEngine next =
                start(new EngineRunner.Place(id, was.service(), was.zone(), was.domain()), ended.state.staged());
        synchronized (this) {
            engines.set(i, next);
        }
        if (!sameId) {
            Thread.sleep(Math.max(0, EXPIRY_MILLIS - downMillis));
            ended.expire();
        }
    }

    /** Ends the processes and adds their records to the record of the play. */
    void end() throws Exception {
        for (Process p : processes) {
            p.destroyForcibly().waitFor();
        }
        for (Path file : records) {
            if (Files.exists(file)) {
                record.addRuns(file);
                Files.delete(file);
            }
        }
    }
}
