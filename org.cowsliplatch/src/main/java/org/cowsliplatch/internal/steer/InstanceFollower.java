package org.cowsliplatch.internal.steer;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.internal.util.PollDelay;
import org.cowsliplatch.platform.Instance;
import org.cowsliplatch.platform.InstanceList;
import org.jboss.logging.Logger;

/** Polls the platform's instance list to keep the directory of backend servers and the peer addresses up to date. */
public final class InstanceFollower {
    private static final Logger LOG = Logger.getLogger(InstanceFollower.class);
    private static final long PERIOD_MS = 1_000;
    private static final long MAX_BACKOFF_MS = 8_000;

    private final InstanceList list;
    private final String entryService;
    private final SteeringViewHolder views;
    private final PollDelay delay;
    private volatile List<String> peerAddresses = List.of();
    private volatile boolean read;

    /**
     * Creates a follower.
     *
     * @param list instance list of the platform
     * @param entryService service name under which the list contains the entry instances and their peer addresses
     * @param views holder of the view in which the backend servers are updated
     * @param random source of jitter
     */
    public InstanceFollower(InstanceList list, String entryService, SteeringViewHolder views, RandomGenerator random) {
        this.list = list;
        this.entryService = entryService;
        this.views = views;
        this.delay = new PollDelay(PERIOD_MS, MAX_BACKOFF_MS, random);
    }

    /**
     * Reads the list once. On failure the last known state is kept; so are the known backend servers if the list no
     * longer contains any.
     */
    public void poll() {
        List<Instance> instances;
        try {
            instances = list.instances();
        } catch (PlatformUnavailableException e) {
            LOG.logf(
                    delay.recordFailure() ? Logger.Level.WARN : Logger.Level.DEBUG,
                    "could not read the instance list: %s",
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
        read = true;
        boolean becameEmpty =
                backends.isEmpty() && !views.current().endpoints().instances().isEmpty();
        if (becameEmpty) {
            LOG.warn("the instance list no longer contains any backend server; keeping the known ones");
            return;
        }
        views.updateEndpoints(new EndpointDirectory(backends));
    }

    /** Returns the peer addresses of the last list that was read. */
    public List<String> peerAddresses() {
        return peerAddresses;
    }

    /** Returns whether a list has been read. */
    public boolean isRead() {
        return read;
    }

    /** Returns the time in ms to wait before the next read: jittered, with back-off after failures. */
    public long nextDelayMs() {
        return delay.nextMs();
    }
}
