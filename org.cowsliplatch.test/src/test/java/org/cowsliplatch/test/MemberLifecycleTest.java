package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.cowsliplatch.internal.member.MemberLifecycle;
import org.cowsliplatch.internal.member.MemberPhase;
import org.junit.jupiter.api.Test;

/** Tests when an entry instance that has started may take over duties. */
final class MemberLifecycleTest {
    private static final String PEER = "10.0.0.1:7540";
    private static final String OTHER = "10.0.0.2:7540";

    private final ManualTicker ticker = new ManualTicker();
    private final MemberLifecycle lifecycle = new MemberLifecycle(ticker);

    @Test
    void waitsForTheListOfPeersHoweverLongThatTakes() {
        ticker.advanceMs(60_000);

        assertThat(lifecycle.tryJoin()).isFalse();
        assertThat(lifecycle.phase()).isEqualTo(MemberPhase.JOINING);
    }

    @Test
    void isActiveAtOnceIfNoPeerIsListed() {
        lifecycle.listed(List.of());

        assertThat(lifecycle.tryJoin()).isTrue();
        assertThat(lifecycle.tryJoin()).isFalse();
        assertThat(lifecycle.isActive()).isTrue();
    }

    @Test
    void waitsForEachListedPeer() {
        lifecycle.settle(PEER);
        lifecycle.listed(List.of(PEER, OTHER));
        assertThat(lifecycle.tryJoin()).isFalse();

        lifecycle.settle(OTHER);

        assertThat(lifecycle.tryJoin()).isTrue();
    }

    @Test
    void doesNotWaitForSilentPeersForever() {
        lifecycle.listed(List.of(PEER));
        ticker.advanceMs(2_300);
        assertThat(lifecycle.tryJoin()).isFalse();

        ticker.advanceMs(200);

        assertThat(lifecycle.tryJoin()).isTrue();
    }

    @Test
    void plannedStopIsFinal() {
        assertThat(lifecycle.leave()).isTrue();
        lifecycle.listed(List.of());

        assertThat(lifecycle.tryJoin()).isFalse();
        assertThat(lifecycle.leave()).isFalse();
        assertThat(lifecycle.phase()).isEqualTo(MemberPhase.LEAVING);
    }
}
