package org.cowsliplatch.internal.member;

import java.util.List;

/**
 * Description of an entry instance, as last announced by itself.
 *
 * @param name name, unique in the system
 * @param incarnation identifier of this start of the instance, 16 hexadecimal digits
 * @param region region
 * @param zone availability zone
 * @param callerAddress address for callers
 * @param peerAddress address for peers
 * @param adminAddress address for operators
 * @param phase phase in its life
 * @param tableVersion version of the tables in effect on it
 * @param tableDigest digest of those tables
 * @param keyPrefix prefix of the idempotency keys that it owns
 * @param adoptedDomains domains of stopped entry instances whose keys it has taken over
 * @param knownPeers peer addresses of the live entry instances it knows, by which instances discover each other
 */
public record Member(
        String name,
        String incarnation,
        String region,
        String zone,
        String callerAddress,
        String peerAddress,
        String adminAddress,
        MemberPhase phase,
        long tableVersion,
        String tableDigest,
        String keyPrefix,
        List<String> adoptedDomains,
        List<String> knownPeers) {
    /** Copies the lists. */
    public Member {
        adoptedDomains = List.copyOf(adoptedDomains);
        knownPeers = List.copyOf(knownPeers);
    }

    /** Returns whether it is leaving, as part of a planned stop. */
    public boolean leaving() {
        return phase == MemberPhase.LEAVING;
    }

    /** Returns whether it takes over duties for others. */
    public boolean isActive() {
        return phase == MemberPhase.ACTIVE;
    }

    /** Returns the domain of its idempotency keys: name and incarnation, separated by a tilde. */
    public String domain() {
        return name + "~" + incarnation;
    }
}
