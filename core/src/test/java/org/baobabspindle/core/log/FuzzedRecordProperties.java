package org.baobabspindle.core.log;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.ConfigurationVersion;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.id.ModelVersion;
import org.baobabspindle.core.id.Region;
import org.baobabspindle.core.id.RequestKey;

class FuzzedRecordProperties {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Incarnation A = Incarnation.of("a", 1);
    private static final String[] UNEXPECTED_VALUES = {
        "null", "-1", "\"\"", "[]", "{}", "[null]", "true", "9e99", "\"x~y\""
    };

    private static List<LogRecord> records() {
        FabricDomain d = FabricDomain.of("d1");
        EntryDescription entry = new EntryDescription(
                A, AvailabilityZone.of("z"), Region.of("r"), "http://127.0.0.1:1", "127.0.0.1", 1, false);
        JsonNode patch = MAPPER.valueToTree(java.util.Map.of(
                "models", java.util.Map.of("m@1", java.util.Map.of("instancesPerGroup", 1, "groups", 3))));
        return List.of(
                new ConfigurationPatched(ConfigurationVersion.of(0), patch),
                new EntryJoined(entry, 0, Set.of(A)),
                new KeeperClaimed(d, LogOffset.of(0)),
                new KeeperRenewed(),
                new GroupFormed(d, LogOffset.of(2), ModelVersion.parse("m@1"), List.of(Incarnation.of("x", 1))),
                new RequestIntended(ClientAccountId.of("c"), RequestKey.of("k")),
                new CrashSuspected("f", GroupId.of(4)),
                new GroupDissolved(GroupId.of(4), LogOffset.of(2), "r"),
                new IntentsExpired(LogOffset.of(1)),
                new EntryLeaving(),
                new KeepersReleased(),
                new SnapshotTaken(LogOffset.of(1), MAPPER.createObjectNode()),
                new EntryRemoved(Region.of("r"), A, 1, Set.of(A), false));
    }

    @Property(tries = 3_000, seed = "20261207")
    void replayAndSnapshotSurviveMalformedRecords(@ForAll long seed) throws IOException {
        Random random = new Random(seed);
        ReplayedState state = new ReplayedState();
        long sequence = 1;
        for (LogRecord r : records()) {
            String line = LogCodec.write(new LogEnvelope(A, sequence, r));
            state.apply(state.nextOffset(), random.nextBoolean() ? line : corrupt(line, random));
            sequence++;
        }
        assertThat(ReplayedState.restore(state.snapshot()).snapshot()).isEqualTo(state.snapshot());
    }

    private static String corrupt(String line, Random random) throws IOException {
        if (random.nextInt(3) == 0) {
            int at = random.nextInt(line.length());
            return line.substring(0, at) + (char) random.nextInt(128) + line.substring(at + random.nextInt(2));
        }
        JsonNode tree = MAPPER.readTree(line);
        List<ObjectNode> objects = new ArrayList<>();
        collectObjects(tree, objects);
        ObjectNode object = objects.get(random.nextInt(objects.size()));
        if (!object.isEmpty()) {
            List<String> names = new ArrayList<>();
            object.fieldNames().forEachRemaining(names::add);
            String name = names.get(random.nextInt(names.size()));
            if (random.nextBoolean()) {
                object.remove(name);
            } else {
                object.set(name, MAPPER.readTree(UNEXPECTED_VALUES[random.nextInt(UNEXPECTED_VALUES.length)]));
            }
        }
        return tree.toString();
    }

    private static void collectObjects(JsonNode node, List<ObjectNode> objects) {
        if (node.isObject()) {
            objects.add((ObjectNode) node);
        }
        node.forEach(child -> collectObjects(child, objects));
    }
}
