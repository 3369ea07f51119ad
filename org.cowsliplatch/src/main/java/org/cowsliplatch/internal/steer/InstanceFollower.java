package org.cowsliplatch.internal.steer;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.internal.util.PollDelay;
import org.cowsliplatch.platform.Instance;
import org.cowsliplatch.platform.InstanceList;
import org.jboss.logging.Logger;

/** Keeps the directory of backend servers and the addresses of peers up to date with the platform's list. */
public final class InstanceFollower {
    private static final Logger LOG = Logger.getLogger(InstanceFollower.class);
    private static final long PERIOD_MS = 1_000;
    private static final long LONGEST_BACKOFF_MS = 8_000;

    private final InstanceList list;
    private final String entryService;
    private final ViewKeeper views;
    private final PollDelay delay;
    private volatile List<String> peerAddresses = List.of();

    /**
     * Creates a follower.
     *
     * @param list platform's list
     * @param entryService name under which the list has the entry instances, with their peer addresses
     * @param views told of backend servers
     * @param random source of jitter
     */
    public InstanceFollower(InstanceList list, String entryService, ViewKeeper views, RandomGenerator random) {
        this.list = list;
        this.entryService = entryService;
        this.views = views;
        this.delay = new PollDelay(PERIOD_MS, LONGEST_BACKOFF_MS, random);
    }

    /** Reads the list once; on failure, or if it has become empty, what was known stays. */
    public void poll() {
        List<Instance> instances;
        try {
            instances = list.instances();
        } catch (PlatformUnavailableException e) {
            LOG.logf(
                    delay.recordFailure() ? Logger.Level.WARN : Logger.Level.DEBUG,
                    "instance list could not be read: %s",
                    e.getMessage());
            return;
        }
        delay.recordSuccess();
        List<Instance> backends = new ArrayList<>();
        List<String> peers = new ArrayList<>();
        for (Instance instance : instances) {
            if (instance.service().equals(entryService)) {
                peers.add(instance.address());
            } else {
                backends.add(instance);
            }
        }
        peerAddresses = List.copyOf(peers);
        boolean emptied =
                backends.isEmpty() && !views.current().endpoints().instances().isEmpty();
        if (emptied) {
            LOG.warn("the instance list has no backend servers any more; those known are kept");
            return;
        }
        views.endpoints(new EndpointDirectory(backends));
    }

    /** Returns the peer addresses in the last list that was read. */
    public List<String> peerAddresses() {
        return peerAddresses;
    }

    /** Returns the time in ms to wait before the next read: jittered, and longer after failures. */
    public long nextDelayMs() {
        return delay.nextMs();
    }
}
