package org.cowsliplatch.internal.peer;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.cowsliplatch.internal.limit.Endpoint;
import org.cowsliplatch.internal.limit.GroupId;
import org.cowsliplatch.internal.limit.GroupLoad;
import org.cowsliplatch.internal.limit.LimitNotice;
import org.cowsliplatch.internal.limit.RateBound;
import org.cowsliplatch.internal.limit.Refusal;
import org.cowsliplatch.internal.limit.SlotOutcome;
import org.cowsliplatch.internal.limit.SlotRequest;
import org.cowsliplatch.internal.member.Member;
import org.cowsliplatch.internal.member.MemberPhase;
import org.cowsliplatch.internal.once.KeyLedger;
import org.cowsliplatch.internal.once.RecordedOutcome;
import org.cowsliplatch.platform.RowStore;
import org.cowsliplatch.table.Rank;
import org.cowsliplatch.wire.Answer;
import org.cowsliplatch.wire.Frame;
import org.cowsliplatch.wire.Group;
import org.cowsliplatch.wire.KeyRecord;

/** Encodes peer messages as protobuf frames and decodes them. */
public final class PeerCodec {
    private PeerCodec() {}

    /** Returns the frame of a message; the frame of a heartbeat includes the member. */
    public static Frame encode(PeerMessage message) {
        Frame.Builder frame = Frame.newBuilder();
        if (message instanceof PeerMessage.Heartbeat m) {
            frame.setHeartbeat(encodeHeartbeat(m));
        } else if (message instanceof PeerMessage.SlotAsk m) {
            frame.setSlotAsk(org.cowsliplatch.wire.SlotAsk.newBuilder()
                    .setGroup(group(m.group()))
                    .setAskId(m.askId())
                    .setRank(m.want().rank().ordinal())
                    .setZone(m.zone())
                    .setWaitedNanos(m.waitedNanos())
                    .setDueNanos(m.want().dueNanos())
                    .setLeftNanos(m.want().deadlineNanos())
                    .addAllAvoid(m.want().avoid())
                    .setObject(m.want().object()));
        } else if (message instanceof PeerMessage.SlotQueued m) {
            frame.setSlotQueued(org.cowsliplatch.wire.SlotQueued.newBuilder().setAskId(m.askId()));
        } else if (message instanceof PeerMessage.SlotDeclined m) {
            frame.setSlotDeclined(
                    org.cowsliplatch.wire.SlotDeclined.newBuilder().setAskId(m.askId()));
        } else if (message instanceof PeerMessage.SlotGranted m) {
            frame.setSlotGranted(org.cowsliplatch.wire.SlotGranted.newBuilder()
                    .setGroup(group(m.group()))
                    .setAskId(m.askId())
                    .setEndpoint(endpoint(m.endpoint())));
        } else if (message instanceof PeerMessage.SlotRefused m) {
            frame.setSlotRefused(encodeRefused(m));
        } else if (message instanceof PeerMessage.SlotCancel m) {
            frame.setSlotCancel(org.cowsliplatch.wire.SlotCancel.newBuilder()
                    .setGroup(group(m.group()))
                    .setAskId(m.askId()));
        } else if (message instanceof PeerMessage.SlotRelease m) {
            org.cowsliplatch.wire.SlotRelease.Builder release = org.cowsliplatch.wire.SlotRelease.newBuilder()
                    .setGroup(group(m.group()))
                    .setAskId(m.askId())
                    .setOutcome(m.outcome().ordinal());
            m.limit().ifPresent(limit -> release.setLimit(encodeLimit(limit)));
            frame.setSlotRelease(release);
        } else {
            encodeInfrequent(message, frame);
        }
        return frame.build();
    }

    private static void encodeInfrequent(PeerMessage message, Frame.Builder frame) {
        if (message instanceof PeerMessage.HoldingsQuery m) {
            frame.setHoldingsQuery(
                    org.cowsliplatch.wire.HoldingsQuery.newBuilder().setGroup(group(m.group())));
        } else if (message instanceof PeerMessage.Holdings m) {
            frame.setHoldings(encodeHoldings(m));
        } else if (message instanceof PeerMessage.TablesWanted m) {
            frame.setTablesWanted(
                    org.cowsliplatch.wire.TablesWanted.newBuilder().setAfter(m.after()));
        } else if (message instanceof PeerMessage.TablesChanges m) {
            frame.setTablesChanges(
                    org.cowsliplatch.wire.TablesChanges.newBuilder().addAllChanges(m.changes()));
        } else if (message instanceof PeerMessage.TablesWhole m) {
            frame.setTablesWhole(org.cowsliplatch.wire.TablesWhole.newBuilder()
                    .setVersion(m.version())
                    .setDocument(m.document()));
        } else if (message instanceof PeerMessage.KeysHandOver m) {
            frame.setKeysHandOver(encodeHandOver(m));
        } else if (message instanceof PeerMessage.KeysTaken m) {
            frame.setKeysTaken(org.cowsliplatch.wire.KeysTaken.newBuilder().setDomain(m.domain()));
        } else if (message instanceof PeerMessage.StoreChanges m) {
            frame.setStoreChanges(encodeStoreChanges(m));
        } else if (message instanceof PeerMessage.LimitsChanged m) {
            frame.setHeartbeat(org.cowsliplatch.wire.Heartbeat.newBuilder()
                    .setChangedLimits(org.cowsliplatch.wire.EndpointLimits.newBuilder()
                            .setGroup(group(m.group()))
                            .addAllLimits(m.limits().stream()
                                    .map(PeerCodec::encodeLimit)
                                    .toList())));
        } else if (message instanceof PeerMessage.EndpointsLeaving m) {
            frame.setHeartbeat(org.cowsliplatch.wire.Heartbeat.newBuilder().addAllLeavingEndpoints(m.endpointIds()));
        }
    }

    private static org.cowsliplatch.wire.SlotRefused encodeRefused(PeerMessage.SlotRefused message) {
        org.cowsliplatch.wire.SlotRefused.Builder refused = org.cowsliplatch.wire.SlotRefused.newBuilder()
                .setAskId(message.askId())
                .setWhy((message.rateBound().isPresent() ? Refusal.TOO_LATE : message.why()).ordinal());
        message.rateBound()
                .ifPresent(bound -> refused.setRateBound(org.cowsliplatch.wire.RateBound.newBuilder()
                        .setPerSecond(bound.perSecond())
                        .setLimitedEndpoints(bound.limitedEndpoints())
                        .setAgeNanos(bound.ageNanos())
                        .setShare(bound.share())
                        .setRoomInNanos(bound.roomInNanos())));
        return refused.build();
    }

    private static PeerMessage decodeRefused(org.cowsliplatch.wire.SlotRefused refused) {
        if (!refused.hasRateBound()) {
            return new PeerMessage.SlotRefused(refused.getAskId(), valueAt(Refusal.values(), refused.getWhy()));
        }
        org.cowsliplatch.wire.RateBound bound = refused.getRateBound();
        return new PeerMessage.SlotRefused(
                refused.getAskId(),
                Refusal.RATE_LIMITED,
                Optional.of(new RateBound(
                        bound.getPerSecond(),
                        bound.getLimitedEndpoints(),
                        bound.getAgeNanos(),
                        bound.getShare(),
                        bound.getRoomInNanos())));
    }

    private static org.cowsliplatch.wire.EndpointLimit encodeLimit(PeerMessage.EndpointLimit limit) {
        return org.cowsliplatch.wire.EndpointLimit.newBuilder()
                .setEndpointId(limit.endpointId())
                .setNamed(limit.notice().kind() == LimitNotice.Kind.NAMED)
                .setPerSecond(limit.notice().perSecond())
                .setAgeNanos(limit.ageNanos())
                .build();
    }

    private static PeerMessage.EndpointLimit decodeLimit(org.cowsliplatch.wire.EndpointLimit limit) {
        return new PeerMessage.EndpointLimit(
                limit.getEndpointId(),
                limit.getNamed() ? LimitNotice.named(limit.getPerSecond()) : LimitNotice.ABSENT,
                limit.getAgeNanos());
    }

    /** Returns whether a heartbeat carries a message beside the sign of life. */
    static boolean hasMessage(org.cowsliplatch.wire.Heartbeat heartbeat) {
        return heartbeat.hasChangedLimits() || heartbeat.getLeavingEndpointsCount() > 0;
    }

    private static PeerMessage decodeHeartbeatMessage(org.cowsliplatch.wire.Heartbeat heartbeat)
            throws MalformedFrameException {
        if (heartbeat.getLeavingEndpointsCount() > 0) {
            return new PeerMessage.EndpointsLeaving(heartbeat.getLeavingEndpointsList());
        }
        if (!heartbeat.hasChangedLimits()) {
            throw new MalformedFrameException("heartbeat without a message", null);
        }
        return new PeerMessage.LimitsChanged(
                group(heartbeat.getChangedLimits().getGroup()),
                decodeLimits(heartbeat.getChangedLimits().getLimitsList()));
    }

    private static List<PeerMessage.EndpointLimit> decodeLimits(List<org.cowsliplatch.wire.EndpointLimit> limits) {
        return limits.stream().map(PeerCodec::decodeLimit).toList();
    }

    private static org.cowsliplatch.wire.StoreChanges.Builder encodeStoreChanges(PeerMessage.StoreChanges message) {
        org.cowsliplatch.wire.StoreChanges.Builder changes = org.cowsliplatch.wire.StoreChanges.newBuilder()
                .setTable(message.table())
                .setAfter(message.after())
                .setVersion(message.version())
                .setStoreReturned(message.storeReturned())
                .setEra(message.era());
        for (RowStore.Row row : message.rows()) {
            changes.addRows(org.cowsliplatch.wire.StoreRow.newBuilder()
                    .setKey(row.key())
                    .setVersion(row.version())
                    .setRemoved(row.value().isEmpty())
                    .setValue(ByteString.copyFrom(row.value().orElse(new byte[0]))));
        }
        return changes;
    }

    private static PeerMessage decodeStoreChanges(org.cowsliplatch.wire.StoreChanges changes) {
        List<RowStore.Row> rows = changes.getRowsList().stream()
                .map(row -> new RowStore.Row(
                        row.getKey(),
                        row.getVersion(),
                        row.getRemoved()
                                ? Optional.<byte[]>empty()
                                : Optional.of(row.getValue().toByteArray())))
                .toList();
        return new PeerMessage.StoreChanges(
                changes.getTable(),
                changes.getAfter(),
                rows,
                changes.getVersion(),
                changes.getStoreReturned(),
                changes.getEra());
    }

    /**
     * Returns the message that a frame carries.
     *
     * @throws MalformedFrameException if the frame carries no message, or one with a value that is out of range
     */
    public static PeerMessage decode(Frame frame) throws MalformedFrameException {
        try {
            return decodeMessage(frame);
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            throw new MalformedFrameException(frame.getKindCase() + " has a value that is out of range", e);
        }
    }

    private static PeerMessage decodeMessage(Frame frame) throws MalformedFrameException {
        return switch (frame.getKindCase()) {
            case SLOT_ASK -> decodeSlotAsk(frame.getSlotAsk());
            case SLOT_QUEUED -> new PeerMessage.SlotQueued(frame.getSlotQueued().getAskId());
            case SLOT_DECLINED ->
                new PeerMessage.SlotDeclined(frame.getSlotDeclined().getAskId());
            case SLOT_GRANTED ->
                new PeerMessage.SlotGranted(
                        group(frame.getSlotGranted().getGroup()),
                        frame.getSlotGranted().getAskId(),
                        endpoint(frame.getSlotGranted().getEndpoint()));
            case SLOT_REFUSED -> decodeRefused(frame.getSlotRefused());
            case SLOT_CANCEL ->
                new PeerMessage.SlotCancel(
                        group(frame.getSlotCancel().getGroup()),
                        frame.getSlotCancel().getAskId());
            case SLOT_RELEASE ->
                new PeerMessage.SlotRelease(
                        group(frame.getSlotRelease().getGroup()),
                        frame.getSlotRelease().getAskId(),
                        valueAt(SlotOutcome.values(), frame.getSlotRelease().getOutcome()),
                        frame.getSlotRelease().hasLimit()
                                ? Optional.of(decodeLimit(frame.getSlotRelease().getLimit()))
                                : Optional.empty());
            case HOLDINGS_QUERY ->
                new PeerMessage.HoldingsQuery(group(frame.getHoldingsQuery().getGroup()));
            case HOLDINGS -> decodeHoldings(frame.getHoldings());
            case TABLES_WANTED ->
                new PeerMessage.TablesWanted(frame.getTablesWanted().getAfter());
            case TABLES_CHANGES ->
                new PeerMessage.TablesChanges(
                        List.copyOf(frame.getTablesChanges().getChangesList()));
            case TABLES_WHOLE ->
                new PeerMessage.TablesWhole(
                        frame.getTablesWhole().getVersion(),
                        frame.getTablesWhole().getDocument());
            case KEYS_HAND_OVER -> decodeHandOver(frame.getKeysHandOver());
            case KEYS_TAKEN -> new PeerMessage.KeysTaken(frame.getKeysTaken().getDomain());
            case STORE_CHANGES -> decodeStoreChanges(frame.getStoreChanges());
            case HEARTBEAT -> decodeHeartbeatMessage(frame.getHeartbeat());
            default -> throw new MalformedFrameException("unexpected frame " + frame.getKindCase(), null);
        };
    }

    /** Returns the protobuf form of a member. */
    public static org.cowsliplatch.wire.Member encodeMember(Member member) {
        return org.cowsliplatch.wire.Member.newBuilder()
                .setName(member.name())
                .setIncarnation(member.incarnation())
                .setRegion(member.region())
                .setZone(member.zone())
                .setCallerAddress(member.callerAddress())
                .setPeerAddress(member.peerAddress())
                .setAdminAddress(member.adminAddress())
                .setLeaving(member.leaving())
                .setJoining(member.phase() == MemberPhase.JOINING)
                .setTableVersion(member.tableVersion())
                .setTableDigest(member.tableDigest())
                .setKeyPrefix(member.keyPrefix())
                .addAllAdoptedDomains(member.adoptedDomains())
                .addAllKnownPeers(member.knownPeers())
                .build();
    }

    /** Returns the member that a protobuf message describes. */
    public static Member decodeMember(org.cowsliplatch.wire.Member member) {
        return new Member(
                member.getName(),
                member.getIncarnation(),
                member.getRegion(),
                member.getZone(),
                member.getCallerAddress(),
                member.getPeerAddress(),
                member.getAdminAddress(),
                decodePhase(member),
                member.getTableVersion(),
                member.getTableDigest(),
                member.getKeyPrefix(),
                member.getAdoptedDomainsList(),
                member.getKnownPeersList());
    }

    private static MemberPhase decodePhase(org.cowsliplatch.wire.Member member) {
        if (member.getLeaving()) {
            return MemberPhase.LEAVING;
        }
        return member.getJoining() ? MemberPhase.JOINING : MemberPhase.ACTIVE;
    }

    /** Returns the group loads reported in a heartbeat. */
    public static List<PeerMessage.GroupReport> decodeLoads(org.cowsliplatch.wire.Heartbeat heartbeat) {
        return heartbeat.getLoadsList().stream()
                .map(report -> new PeerMessage.GroupReport(
                        group(report.getGroup()),
                        new GroupLoad(
                                report.getSlots(), report.getFree(), report.getOutstanding(), report.getWaiting()),
                        report.getCachedObjects()))
                .toList();
    }

    /** Returns the protobuf form of a heartbeat that omits the member. */
    public static org.cowsliplatch.wire.Heartbeat.Builder encodeHeartbeatWithoutMember(
            List<PeerMessage.GroupReport> loads) {
        org.cowsliplatch.wire.Heartbeat.Builder heartbeat = org.cowsliplatch.wire.Heartbeat.newBuilder();
        for (PeerMessage.GroupReport report : loads) {
            heartbeat.addLoads(org.cowsliplatch.wire.GroupReport.newBuilder()
                    .setGroup(group(report.group()))
                    .setSlots(report.load().slots())
                    .setFree(report.load().free())
                    .setOutstanding(report.load().outstanding())
                    .setWaiting(report.load().waiting())
                    .setCachedObjects(report.cachedObjects()));
        }
        return heartbeat;
    }

    private static org.cowsliplatch.wire.Heartbeat encodeHeartbeat(PeerMessage.Heartbeat message) {
        return encodeHeartbeatWithoutMember(message.loads())
                .setMember(encodeMember(message.member()))
                .build();
    }

    private static PeerMessage decodeSlotAsk(org.cowsliplatch.wire.SlotAsk ask) {
        return new PeerMessage.SlotAsk(
                group(ask.getGroup()),
                ask.getAskId(),
                ask.getZone(),
                ask.getWaitedNanos(),
                new SlotRequest.Requirements(
                        valueAt(Rank.values(), ask.getRank()),
                        ask.getDueNanos(),
                        ask.getLeftNanos(),
                        ask.getAvoidList(),
                        ask.getObject()));
    }

    private static org.cowsliplatch.wire.Holdings encodeHoldings(PeerMessage.Holdings message) {
        org.cowsliplatch.wire.Holdings.Builder holdings =
                org.cowsliplatch.wire.Holdings.newBuilder().setGroup(group(message.group()));
        for (PeerMessage.Holding holding : message.holdings()) {
            holdings.addHoldings(org.cowsliplatch.wire.Holding.newBuilder()
                    .setAskId(holding.askId())
                    .setEndpointId(holding.endpointId())
                    .setRank(holding.rank().ordinal()));
        }
        message.limits().forEach(limit -> holdings.addLimits(encodeLimit(limit)));
        return holdings.build();
    }

    private static PeerMessage decodeHoldings(org.cowsliplatch.wire.Holdings holdings) {
        return new PeerMessage.Holdings(
                group(holdings.getGroup()),
                holdings.getHoldingsList().stream()
                        .map(holding -> new PeerMessage.Holding(
                                holding.getAskId(), holding.getEndpointId(), valueAt(Rank.values(), holding.getRank())))
                        .toList(),
                decodeLimits(holdings.getLimitsList()));
    }

    private static org.cowsliplatch.wire.KeysHandOver encodeHandOver(PeerMessage.KeysHandOver message) {
        org.cowsliplatch.wire.KeysHandOver.Builder handOver = org.cowsliplatch.wire.KeysHandOver.newBuilder()
                .setDomain(message.domain())
                .setSecret(ByteString.copyFrom(message.secret()))
                .setAgeNanos(message.ageNanos())
                .setLast(message.last());
        for (KeyLedger.ExportedRecord record : message.records()) {
            handOver.addRecords(encodeKeyRecord(record));
        }
        return handOver.build();
    }

    private static PeerMessage decodeHandOver(org.cowsliplatch.wire.KeysHandOver handOver) {
        return new PeerMessage.KeysHandOver(
                handOver.getDomain(),
                handOver.getSecret().toByteArray(),
                handOver.getAgeNanos(),
                handOver.getRecordsList().stream()
                        .map(PeerCodec::decodeKeyRecord)
                        .toList(),
                handOver.getLast());
    }

    private static KeyRecord encodeKeyRecord(KeyLedger.ExportedRecord record) {
        KeyRecord.Builder builder = KeyRecord.newBuilder()
                .setKey(record.key())
                .setFingerprint(record.fingerprint())
                .setMinute(record.minute());
        if (record.outcome() instanceof RecordedOutcome.Answer answer) {
            builder.setAnswer(Answer.newBuilder()
                    .setStatus(answer.status())
                    .addAllHeaders(answer.headers())
                    .setBody(ByteString.copyFrom(answer.body())));
        } else if (record.outcome() instanceof RecordedOutcome.NotRun notRun) {
            builder.setNotRun(notRun.detail());
        } else if (record.outcome() instanceof RecordedOutcome.Unknown unknown) {
            builder.setUnknown(unknown.detail());
        }
        return builder.build();
    }

    private static KeyLedger.ExportedRecord decodeKeyRecord(KeyRecord record) {
        RecordedOutcome recorded =
                switch (record.getRecordedCase()) {
                    case ANSWER ->
                        new RecordedOutcome.Answer(
                                record.getAnswer().getStatus(),
                                record.getAnswer().getHeadersList(),
                                record.getAnswer().getBody().toByteArray());
                    case NOT_RUN -> new RecordedOutcome.NotRun(record.getNotRun());
                    default -> new RecordedOutcome.Unknown(record.getUnknown());
                };
        return new KeyLedger.ExportedRecord(record.getKey(), record.getFingerprint(), record.getMinute(), recorded);
    }

    private static Group group(GroupId group) {
        return Group.newBuilder()
                .setPool(group.pool())
                .setRegion(group.region())
                .build();
    }

    private static GroupId group(Group group) {
        return new GroupId(group.getPool(), group.getRegion());
    }

    private static org.cowsliplatch.wire.Endpoint endpoint(Endpoint endpoint) {
        return org.cowsliplatch.wire.Endpoint.newBuilder()
                .setId(endpoint.id())
                .setAddress(endpoint.address())
                .setRegion(endpoint.region())
                .setZone(endpoint.zone())
                .build();
    }

    private static Endpoint endpoint(org.cowsliplatch.wire.Endpoint endpoint) {
        return new Endpoint(endpoint.getId(), endpoint.getAddress(), endpoint.getRegion(), endpoint.getZone());
    }

    private static <T> T valueAt(T[] values, int index) {
        if (index < 0 || index >= values.length) {
            throw new IndexOutOfBoundsException(index);
        }
        return values[index];
    }
}
