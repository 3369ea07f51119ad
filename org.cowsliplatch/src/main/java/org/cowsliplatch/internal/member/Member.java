package org.cowsliplatch.internal.member;

import java.util.List;

/**
 * One entry instance as it last described itself.
 *
 * @param name name, unique in the system
 * @param incarnation start of it, 16 hexadecimal digits
 * @param region region
 * @param zone availability zone
 * @param callerAddress address for callers
 * @param peerAddress address for peers
 * @param adminAddress address for operators
 * @param leaving whether it takes part in a planned stop
 * @param tableVersion table version in force on it
 * @param tableDigest digest of those tables
 * @param keyPrefix prefix for idempotency keys that it owns
 * @param adoptedDomains domains of stopped entry instances whose keys it took over
 * @param knownPeers peer addresses of the entry instances that it heard of lately, so that all find each other
 */
public record Member(
        String name,
        String incarnation,
        String region,
        String zone,
        String callerAddress,
        String peerAddress,
        String adminAddress,
        boolean leaving,
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

    /** Returns name and incarnation together. */
    public String domain() {
        return name + "~" + incarnation;
    }
}
