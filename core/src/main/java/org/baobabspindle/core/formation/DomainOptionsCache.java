package org.baobabspindle.core.formation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baobabspindle.core.id.FabricDomain;

/** Remembers the ways to divide domains that have not changed; of a large fleet few domains change between two plans. */
final class DomainOptionsCache {
    private final Map<FabricDomain, Entry> entries = new HashMap<>();

    private record Entry(DomainState state, DomainOption.Situation situation, List<DomainOption> options) {}

    /** Returns the ways to divide a domain. */
    List<DomainOption> options(DomainState state, DomainOption.Situation situation) {
        Entry known = entries.get(state.domain());
        if (known != null && known.state().equals(state) && known.situation().equals(situation)) {
            return known.options();
        }
        List<DomainOption> options = DomainOption.all(state, situation);
        entries.put(state.domain(), new Entry(state, situation, options));
        return options;
    }

    /** Forgets domains that are gone. */
    void retain(List<DomainState> states) {
        Set<FabricDomain> present = new HashSet<>();
        states.forEach(s -> present.add(s.domain()));
        entries.keySet().retainAll(present);
    }
}
