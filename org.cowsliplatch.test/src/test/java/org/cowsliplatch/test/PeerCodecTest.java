package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.cowsliplatch.internal.limit.Endpoint;
import org.cowsliplatch.internal.limit.GroupId;
import org.cowsliplatch.internal.limit.LimitNotice;
import org.cowsliplatch.internal.limit.RateBound;
import org.cowsliplatch.internal.limit.Refusal;
import org.cowsliplatch.internal.limit.SlotOutcome;
import org.cowsliplatch.internal.limit.SlotRequest;
import org.cowsliplatch.internal.once.KeyLedger;
import org.cowsliplatch.internal.once.RecordedOutcome;
import org.cowsliplatch.internal.peer.MalformedFrameException;
import org.cowsliplatch.internal.peer.PeerCodec;
import org.cowsliplatch.internal.peer.PeerMessage;
import org.cowsliplatch.platform.RowStore;
import org.cowsliplatch.table.Rank;
import org.cowsliplatch.wire.Frame;
import org.cowsliplatch.wire.SlotAsk;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Peer messages are encoded and decoded without loss, and malformed frames are rejected. */
final class PeerCodecTest {
    private static final GroupId GROUP = new GroupId("p", "r");

    @Test
    void messagesRoundTrip() throws MalformedFrameException {
        List<PeerMessage> messages = List.of(
                new PeerMessage.SlotAsk(
                        GROUP, -5, "z", 1, new SlotRequest.Requirements(Rank.UPLOAD, 3, 2, List.of("e1"), "o")),
                new PeerMessage.SlotQueued(7),
                new PeerMessage.SlotDeclined(7),
                new PeerMessage.SlotGranted(GROUP, 7, new Endpoint("e", "a", "r", "z")),
                new PeerMessage.SlotRefused(7, Refusal.TOO_LATE),
                new PeerMessage.SlotRefused(7, Refusal.RATE_LIMITED, Optional.of(new RateBound(2.5, 3, 40, 0.5, 60))),
                new PeerMessage.SlotCancel(GROUP, 7),
                new PeerMessage.SlotRelease(GROUP, 7, SlotOutcome.CUT),
                new PeerMessage.SlotRelease(
                        GROUP,
                        7,
                        SlotOutcome.ANSWERED,
                        Optional.of(new PeerMessage.EndpointLimit("e", LimitNotice.ABSENT, 0))),
                new PeerMessage.LimitsChanged(
                        GROUP, List.of(new PeerMessage.EndpointLimit("e", LimitNotice.named(2.5), 40))),
                new PeerMessage.EndpointsLeaving(List.of("e~1", "f~2")),
                new PeerMessage.HoldingsQuery(GROUP),
                new PeerMessage.Holdings(
                        GROUP, List.of(), List.of(new PeerMessage.EndpointLimit("e", LimitNotice.named(2.5), 40))),
                new PeerMessage.Holdings(GROUP, List.of(new PeerMessage.Holding(7, "e", Rank.URGENT))),
                new PeerMessage.TablesWanted(3),
                new PeerMessage.TablesChanges(List.of("{}")),
                new PeerMessage.TablesWhole(3, "{}"),
                new PeerMessage.KeysTaken("d"),
                // Arrays are compared by identity; rows with a value are tested below.
                new PeerMessage.StoreChanges("t", 3, List.of(new RowStore.Row("k", 4, Optional.empty())), 5, true),
                new PeerMessage.StoreChanges("t", 3, List.of(), 5, false, 2));

        for (PeerMessage message : messages) {
            assertThat(PeerCodec.decode(PeerCodec.encode(message))).isEqualTo(message);
        }
    }

    @Test
    void rowsOfTheStoreRoundTrip() throws Exception {
        byte[] value = {0, -1, 7};
        PeerMessage sent =
                new PeerMessage.StoreChanges("t", 3, List.of(new RowStore.Row("k", 4, Optional.of(value))), 5, false);
        PeerMessage received = PeerCodec.decode(PeerCodec.encode(sent));

        assertThat(received).isInstanceOf(PeerMessage.StoreChanges.class);
        RowStore.Row row = ((PeerMessage.StoreChanges) received).rows().get(0);
        assertThat(row.key()).isEqualTo("k");
        assertThat(row.version()).isEqualTo(4);
        assertThat(row.value().orElseThrow()).isEqualTo(value);
    }

    @Test
    void handOverRoundTrips() throws MalformedFrameException {
        RecordedOutcome answer = new RecordedOutcome.Answer(201, List.of("A", "b"), new byte[] {1, 2});
        PeerMessage.KeysHandOver sent = new PeerMessage.KeysHandOver(
                "d",
                new byte[] {9},
                5,
                List.of(
                        new KeyLedger.ExportedRecord("k1", "f", 1, answer),
                        new KeyLedger.ExportedRecord("k2", "f", 1, new RecordedOutcome.NotRun("x")),
                        new KeyLedger.ExportedRecord("k3", "f", 1, new RecordedOutcome.Unknown("y"))),
                true);

        PeerMessage.KeysHandOver received = (PeerMessage.KeysHandOver) PeerCodec.decode(PeerCodec.encode(sent));

        assertThat(received.secret()).isEqualTo(sent.secret());
        assertThat(((RecordedOutcome.Answer) received.records().get(0).outcome()).body())
                .isEqualTo(new byte[] {1, 2});
        assertThat(received.records().subList(1, 3)).isEqualTo(sent.records().subList(1, 3));
        assertThat(received.last()).isTrue();
    }

    @Test
    void valuesOutOfRangeAreRejected() {
        Frame frame =
                Frame.newBuilder().setSlotAsk(SlotAsk.newBuilder().setRank(99)).build();

        Assertions.assertThrows(MalformedFrameException.class, () -> PeerCodec.decode(frame));
        Assertions.assertThrows(MalformedFrameException.class, () -> PeerCodec.decode(Frame.getDefaultInstance()));
    }

    @Property(tries = 2_000, seed = "42")
    void anyBytesAreDecodedOrRejected(@ForAll @Size(max = 80) byte[] bytes) {
        try {
            assertThat(PeerCodec.decode(Frame.parseFrom(bytes))).isNotNull();
        } catch (InvalidProtocolBufferException | MalformedFrameException e) {
            assertThat(e).hasMessageThat().isNotEmpty();
        }
    }
}
