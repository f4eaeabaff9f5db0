package org.baobabspindle.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.baobabspindle.core.group.AssessmentTable;
import org.baobabspindle.core.group.Keeper;
import org.baobabspindle.core.group.KeeperView;
import org.baobabspindle.core.group.PlatformInstance;
import org.baobabspindle.core.group.ReportTable;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.log.ReplayedState;
import org.baobabspindle.platform.InstanceList;

/** The state of engines, groups and plain services as known to an entry. Guarded by the lock of rank GROUPS. */
public final class GroupTables {
    private final ReportTable reports = new ReportTable();
    private final AssessmentTable assessments = new AssessmentTable();
    private final Keeper keeper;
    private final Map<Incarnation, Boolean> serviceLeaving = new HashMap<>();
    private InstanceList instances = InstanceList.EMPTY;
    private boolean listRead;

    /**
     * Creates empty tables.
     *
     * @param keeper the keeper of this entry
     */
    public GroupTables(Keeper keeper) {
        this.keeper = keeper;
    }

    /**
     * Returns the latest reports of the engines.
     *
     * @return the table; valid only while the lock is held
     */
    public ReportTable reports() {
        return reports;
    }

    /**
     * Returns the assessments of the groups.
     *
     * @return the table; valid only while the lock is held
     */
    public AssessmentTable assessments() {
        return assessments;
    }

    /**
     * Returns the keeper of this entry.
     *
     * @return the keeper; valid only while the lock is held
     */
    public Keeper keeper() {
        return keeper;
    }

    /**
     * Returns the instance list that was read last.
     *
     * @return the list
     */
    public InstanceList instances() {
        return instances;
    }

    /**
     * Replaces the instance list by a newer one.
     *
     * @param list the list
     */
    public void instances(InstanceList list) {
        instances = list;
        listRead = true;
    }

    /**
     * Returns whether the instance list has been read since this entry started.
     *
     * @return whether the addresses of backend servers are known
     */
    public boolean isInstanceListRead() {
        return listRead;
    }

    /**
     * Records whether an instance of a plain service reported that it is leaving.
     *
     * @param id the incarnation
     * @param leaving whether it reported that it is leaving
     */
    public void recordServiceStatus(Incarnation id, boolean leaving) {
        serviceLeaving.put(id, leaving);
    }

    /**
     * Returns whether an instance of a plain service reported that it is leaving.
     *
     * @param id the incarnation
     * @return whether it is leaving; false if it has not reported
     */
    public boolean isServiceLeaving(Incarnation id) {
        return serviceLeaving.getOrDefault(id, false);
    }

    /**
     * Finds an engine.
     *
     * @param id the incarnation
     * @return the engine as given in the instance list, or empty if it is not listed
     */
    public Optional<PlatformInstance> engine(Incarnation id) {
        return instances.engines().stream().filter(e -> e.id().equals(id)).findFirst();
    }

    /**
     * Returns the input to the decisions of the keeper.
     *
     * @param state the replayed state
     * @param mayAppend whether the keeper may append to the log
     * @return the view; valid only while the locks are held
     */
    public KeeperView keeperView(ReplayedState state, boolean mayAppend) {
        return new KeeperView(state, instances.engines(), reports, mayAppend);
    }
}
