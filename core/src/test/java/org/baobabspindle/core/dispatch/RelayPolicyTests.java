package org.baobabspindle.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.baobabspindle.core.dispatch.RelayPolicy.CallAction;
import org.baobabspindle.core.dispatch.RelayPolicy.CallInProgress;
import org.baobabspindle.core.dispatch.RelayPolicy.Path;
import org.baobabspindle.core.dispatch.RelayPolicy.PendingRequest;
import org.baobabspindle.core.dispatch.RelayPolicy.Receiver;
import org.baobabspindle.core.time.Moment;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RelayPolicyTests {
    private static final Moment NOW = new Moment(Duration.ofMinutes(1).toNanos(), 0);
    private static final Moment LONG_AGO = NOW.minus(RelayPolicy.MIN_SILENCE.multipliedBy(2));
    private static final PendingRequest OF_CALLER = new PendingRequest(false, 0, false, false);
    private static final PendingRequest OF_ENTRY = new PendingRequest(true, 0, false, false);

    @Nested
    class Paths {
        @Test
        void isDirectWhileServersAreReachable() {
            assertThat(RelayPolicy.path(OF_CALLER, false, true)).isEqualTo(Path.DIRECT);
            assertThat(RelayPolicy.path(OF_ENTRY, false, true)).isEqualTo(Path.DIRECT);
        }

        @Test
        void oneUnreachableServerIsNotAReasonToRelay() {
            assertThat(RelayPolicy.path(new PendingRequest(false, 1, false, false), false, true))
                    .isEqualTo(Path.DIRECT);
        }

        @Test
        void relaysAfterTwoUnreachableServers() {
            PendingRequest request = new PendingRequest(false, 2, false, false);
            assertThat(RelayPolicy.path(request, false, true)).isEqualTo(Path.RELAY);
            assertThat(RelayPolicy.path(request, false, false)).isEqualTo(Path.DIRECT);
        }

        @Test
        void relaysAfterAServerFailedTogetherWithOthers() {
            PendingRequest request = new PendingRequest(false, 0, true, false);
            assertThat(RelayPolicy.path(request, false, true)).isEqualTo(Path.RELAY);
            assertThat(RelayPolicy.path(request, false, false)).isEqualTo(Path.DIRECT);
        }

        @Test
        void partitionedEntryRelays() {
            assertThat(RelayPolicy.path(OF_CALLER, true, true)).isEqualTo(Path.RELAY);
            assertThat(RelayPolicy.path(OF_CALLER, true, false)).isEqualTo(Path.NONE);
        }

        @Test
        void relayedRequestIsNeverRelayedAgain() {
            assertThat(RelayPolicy.path(OF_ENTRY, true, true)).isEqualTo(Path.NONE);
            assertThat(RelayPolicy.path(new PendingRequest(true, 2, true, false), false, true))
                    .isEqualTo(Path.DIRECT);
        }

        @Test
        void responseThatHasBegunIsContinuedDirectlyWithoutAnotherEntry() {
            assertThat(RelayPolicy.path(new PendingRequest(false, 0, false, true), true, false))
                    .isEqualTo(Path.DIRECT);
        }
    }

    @Nested
    class CallsInProgress {
        private CallAction action(PendingRequest request, CallInProgress call) {
            return RelayPolicy.action(request, call, true, true, NOW);
        }

        private CallInProgress silent(boolean sent, Receiver to, boolean repeatable) {
            return new CallInProgress(sent, to, repeatable, LONG_AGO, false);
        }

        @Test
        void areKeptWhileServersAreReachable() {
            assertThat(RelayPolicy.action(OF_CALLER, silent(true, Receiver.SERVER, true), false, true, NOW))
                    .isEqualTo(CallAction.KEEP);
            assertThat(RelayPolicy.action(OF_CALLER, silent(false, Receiver.SERVER, true), false, true, NOW))
                    .isEqualTo(CallAction.KEEP);
        }

        @Test
        void unsentCallIsWithdrawn() {
            CallInProgress call = new CallInProgress(false, Receiver.SERVER, false, NOW, false);
            assertThat(action(OF_CALLER, call)).isEqualTo(CallAction.WITHDRAW);
            assertThat(action(OF_ENTRY, call)).isEqualTo(CallAction.WITHDRAW);
        }

        @Test
        void unsentCallOfAResponseThatHasBegunIsKeptWithoutAnotherEntry() {
            PendingRequest begun = new PendingRequest(false, 0, false, true);
            assertThat(RelayPolicy.action(begun, silent(false, Receiver.SERVER, true), true, false, NOW))
                    .isEqualTo(CallAction.KEEP);
        }

        @Test
        void silentCallIsMovedIfItMayBeRepeated() {
            assertThat(action(OF_CALLER, silent(true, Receiver.SERVER, true))).isEqualTo(CallAction.MOVE);
            assertThat(action(OF_CALLER, silent(true, Receiver.SERVER, false))).isEqualTo(CallAction.KEEP);
        }

        @Test
        void silentCallIsKeptWithoutAnotherEntry() {
            assertThat(RelayPolicy.action(OF_CALLER, silent(true, Receiver.SERVER, true), true, false, NOW))
                    .isEqualTo(CallAction.KEEP);
        }

        @Test
        void callThatReceivedSomethingRecentlyIsKept() {
            Moment recent = NOW.minus(RelayPolicy.MIN_SILENCE);
            assertThat(action(OF_CALLER, new CallInProgress(true, Receiver.SERVER, true, recent, false)))
                    .isEqualTo(CallAction.KEEP);
        }

        @Test
        void silentCallIsKeptWhileOtherServersAreHeardFrom() {
            assertThat(action(OF_CALLER, new CallInProgress(true, Receiver.SERVER, true, LONG_AGO, true)))
                    .isEqualTo(CallAction.KEEP);
        }

        @Test
        void callToAnotherEntryIsKept() {
            assertThat(action(OF_CALLER, silent(true, Receiver.ENTRY, true))).isEqualTo(CallAction.KEEP);
            assertThat(action(OF_CALLER, silent(false, Receiver.ENTRY, true))).isEqualTo(CallAction.KEEP);
        }

        @Test
        void silentCallToAPartitionedEntryIsMovedIfItMayBeRepeated() {
            assertThat(action(OF_CALLER, silent(true, Receiver.PARTITIONED_ENTRY, true)))
                    .isEqualTo(CallAction.MOVE);
            assertThat(action(OF_CALLER, silent(true, Receiver.PARTITIONED_ENTRY, false)))
                    .isEqualTo(CallAction.KEEP);
            CallInProgress recent = new CallInProgress(
                    true, Receiver.PARTITIONED_ENTRY, true, NOW.minus(RelayPolicy.MIN_SILENCE), false);
            assertThat(action(OF_CALLER, recent)).isEqualTo(CallAction.KEEP);
        }

        @Test
        void sentCallOfARelayedRequestIsKept() {
            assertThat(action(OF_ENTRY, silent(true, Receiver.SERVER, true))).isEqualTo(CallAction.KEEP);
        }
    }
}
