package org.cowsliplatch.internal.member;

/** Phase in the life of an entry instance, as it announces it. */
public enum MemberPhase {
    /** It has just started and does not know all others yet, so it takes over no duties for others. */
    JOINING,
    /** It knows the others and takes over duties. */
    ACTIVE,
    /** It has begun its planned stop and hands its duties over. */
    LEAVING
}
