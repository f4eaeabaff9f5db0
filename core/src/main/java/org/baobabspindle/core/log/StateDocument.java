package org.baobabspindle.core.log;

import java.util.List;
import org.baobabspindle.core.configuration.Configuration;
import org.baobabspindle.core.id.ConfigurationVersion;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.id.Region;

/** The JSON document of a snapshot, which holds the whole state. */
record StateDocument(
        LogOffset next,
        LogOffset lastSnapshot,
        Configuration configuration,
        ConfigurationVersion version,
        List<RegionDocument> regions,
        List<KeeperClaim> claims,
        List<Group> groups,
        List<Intents.Intent> intents,
        List<CrashDocument> crashes,
        List<WriterSequence> sequences) {
    record RegionDocument(Region region, Membership.RegionMembers members) {}

    record CrashDocument(String fingerprint, List<GroupId> groups) {}

    record WriterSequence(Incarnation writer, long sequence) {}
}
