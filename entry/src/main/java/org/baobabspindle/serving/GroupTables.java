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

/** What an entry knows of engines, groups and plain services. Guarded by the lock of rank GROUPS. */
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
     * Returns the reports of the engines.
     *
     * @return the table; valid only while the lock is held
     */
    public ReportTable reports() {
        return reports;
    }

    /**
     * Returns what was heard of the groups.
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
     * Returns the instance list as it was last read.
     *
     * @return the list
     */
    public InstanceList instances() {
        return instances;
    }

    /**
     * Notes a newer instance list.
     *
     * @param list the list
     */
    public void instances(InstanceList list) {
        instances = list;
        listRead = true;
    }

    /**
     * Tells whether the instance list has been read since this entry started.
     *
     * @return whether this entry can know where backend servers listen
     */
    public boolean isInstanceListRead() {
        return listRead;
    }

    /**
     * Notes whether an instance of a plain service said that it is leaving.
     *
     * @param id the incarnation
     * @param leaving what it said
     */
    public void recordServiceStatus(Incarnation id, boolean leaving) {
        serviceLeaving.put(id, leaving);
    }

    /**
     * Tells whether an instance of a plain service said that it is leaving.
     *
     * @param id the incarnation
     * @return whether it said so
     */
    public boolean isServiceLeaving(Incarnation id) {
        return serviceLeaving.getOrDefault(id, false);
    }

    /**
     * Finds an engine.
     *
     * @param id the incarnation
     * @return the engine as the instance list shows it
     */
    public Optional<PlatformInstance> engine(Incarnation id) {
        return instances.engines().stream().filter(e -> e.id().equals(id)).findFirst();
    }

    /**
     * Returns what the keeper decides by.
     *
     * @param state the replayed state
     * @param mayAppend whether the log is readable
     * @return the view; valid only while the locks are held
     */
    public KeeperView keeperView(ReplayedState state, boolean mayAppend) {
        return new KeeperView(state, instances.engines(), reports, mayAppend);
    }
}
