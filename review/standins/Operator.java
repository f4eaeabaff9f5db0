package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Writes versions of the configuration; time-outs, weights, one route and one key change, what callers need stays. Some
 * versions have many further routes, which nobody requests.
 */
final class Operator {
    static final String EXTRA_KEY = "k9extra4zs989anu6wsjn";
    private static final int FURTHER_ROUTES = 1_400;
    private static final double APPLY_SECONDS = 2;
    private static final double REVOKE_SECONDS = 5;

    private final Deployment deployment;
    private final Record record;
    private final int budgetMillis;
    private final int attempts;
    private final int streamAttempts;
    private final String engines;
    private int version = 7;
    private int bookMillis;
    private int streamMillis = 6_000;
    private int otherWeight;
    private final Extra route = new Extra();
    private final Extra key = new Extra();

    /** What comes and goes. */
    private static final class Extra {
        private boolean present;
        private double since;

        boolean isSettled(boolean there, double seconds, double now) {
            return present == there && now - since > seconds;
        }

        void toggle(double now) {
            present = !present;
            since = now;
        }
    }

    Operator(Deployment deployment, Record record, int budgetMillis, int attempts, int streamAttempts, String engines) {
        this.deployment = deployment;
        this.record = record;
        this.budgetMillis = budgetMillis;
        this.attempts = attempts;
        this.streamAttempts = streamAttempts;
        this.engines = engines;
        this.bookMillis = budgetMillis;
    }

    /** Returns whether all entries in touch know the extra route and the extra key. */
    synchronized boolean extrasAreThere(double now) {
        return route.isSettled(true, APPLY_SECONDS, now) && key.isSettled(true, APPLY_SECONDS, now);
    }

    /** Returns whether the extra key has been gone for so long that nothing may run with it. */
    synchronized boolean keyIsGone(double now) {
        return key.isSettled(false, REVOKE_SECONDS, now);
    }

    synchronized void change(Random random) {
        version += 1 + random.nextInt(4);
        switch (random.nextInt(5)) {
            case 0 -> streamMillis = 2_000 + random.nextInt(5_000);
            case 1 -> bookMillis = budgetMillis / 2 + random.nextInt(budgetMillis / 2);
            case 2 -> otherWeight = random.nextInt(3) * 20;
            case 3 -> route.toggle(record.seconds());
            default -> key.toggle(record.seconds());
        }
        write();
    }

    synchronized void write() {
        List<String> routes = new ArrayList<>(List.of(
                plain("book", "unsafe"),
                plain("read", "safe"),
                Deployment.streamRoute("r-chat", "/chat/", streamMillis, streamAttempts, "pool", true),
                Deployment.streamRoute("r-once", "/once/", streamMillis, streamAttempts, "pool", false)));
        if (route.present) {
            routes.add(Deployment.streamRoute("r-extra", "/extra/", streamMillis, streamAttempts, "pool", true));
        }
        // Follows from the version, so that the draws of a seed stay as they are.
        for (int i = 0; version % 3 == 0 && i < FURTHER_ROUTES; i++) {
            routes.add(plain("further" + i, "safe"));
        }
        deployment.configure(
                version,
                String.join(",", routes),
                Deployment.service("booking-app") + "," + Deployment.service("booking-alt") + "," + engines,
                key.present ? List.of(Deployment.KEY, EXTRA_KEY) : List.of(Deployment.KEY));
    }

    private String plain(String name, String type) {
        String route = Deployment.route("r-" + name, "/" + name + "/", type, bookMillis, attempts, "booking-app");
        return otherWeight == 0
                ? route
                : route.replace(
                        "'service':'booking-app'",
                        "'split':[{'service':'booking-app','weight':" + (100 - otherWeight)
                                + "},{'service':'booking-alt','weight':" + otherWeight + "}]");
    }
}
