package org.baobabspindle.core.formation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baobabspindle.core.id.FabricDomain;

/** Caches the options of unchanged domains; in a large fleet few domains change between two plans. */
final class DomainOptionsCache {
    private final Map<FabricDomain, Entry> entries = new HashMap<>();

    private record Entry(DomainState state, DomainOption.PlanningContext context, List<DomainOption> options) {}

    /** Returns the ways to divide a domain, computed anew only if its state or the context has changed. */
    List<DomainOption> options(DomainState state, DomainOption.PlanningContext context) {
        Entry cached = entries.get(state.domain());
        if (cached != null && cached.state().equals(state) && cached.context().equals(context)) {
            return cached.options();
        }
        List<DomainOption> options = DomainOption.all(state, context);
        entries.put(state.domain(), new Entry(state, context, options));
        return options;
    }

    /** Removes the entries of all domains but the given ones. */
    void retain(List<DomainState> states) {
        Set<FabricDomain> present = new HashSet<>();
        states.forEach(s -> present.add(s.domain()));
        entries.keySet().retainAll(present);
    }
}
