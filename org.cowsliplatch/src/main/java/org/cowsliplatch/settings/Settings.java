package org.cowsliplatch.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;

/**
 * Everything that an entry instance is told before it starts.
 *
 * @param system name of the system, for people
 * @param instance name of this entry instance, unique in the system
 * @param region region of this entry instance
 * @param zone availability zone of this entry instance
 * @param listen addresses of its listeners
 * @param regions availability zones of each region
 * @param links caps between regions
 * @param delays delays of the network, one way
 * @param platform services of the platform
 * @param mostEntries most entry instances that run at a time
 * @param seeds addresses of peers to ask first
 * @param admin access to the administration API
 * @param telemetry logs and traces
 * @param limits bounds on what one request or all requests may use
 */
public record Settings(
        String system,
        String instance,
        String region,
        String zone,
        Listen listen,
        SortedMap<String, List<String>> regions,
        List<Link> links,
        Delays delays,
        Platform platform,
        int mostEntries,
        List<InetSocketAddress> seeds,
        Admin admin,
        Telemetry telemetry,
        Limits limits) {

    /**
     * Addresses of the three listeners.
     *
     * @param caller requests and look-ups of callers
     * @param peer other entry instances
     * @param admin operators and metrics
     */
    public record Listen(InetSocketAddress caller, InetSocketAddress peer, InetSocketAddress admin) {}

    /**
     * Cap of the traffic between two regions in one direction.
     *
     * @param from region the traffic leaves
     * @param to region the traffic reaches
     * @param bitsPerSecond cap for all traffic
     */
    public record Link(String from, String to, long bitsPerSecond) {}

    /**
     * Delays of the network, one way.
     *
     * @param zone between availability zones of one region
     * @param region between regions
     * @param caller to callers
     */
    public record Delays(Duration zone, Duration region, Duration caller) {}

    /**
     * Services of the platform.
     *
     * @param tableService base address of the table service
     * @param objectStore base address of the object store
     * @param instanceList base address of the instance list
     * @param measurements base address of the measurements
     * @param entryService name under which the list has the entry instances
     * @param timeout longest wait for an answer
     */
    public record Platform(
            URI tableService,
            URI objectStore,
            URI instanceList,
            URI measurements,
            String entryService,
            Duration timeout) {}

    /**
     * Access to the administration API.
     *
     * @param token bearer token
     * @param keyStore key store for TLS, or empty for plain HTTP
     */
    public record Admin(String token, Optional<KeyStoreFile> keyStore) {
        @Override
        public String toString() {
            return "Admin[keyStore=" + keyStore + "]";
        }
    }

    /**
     * A PKCS #12 key store.
     *
     * @param file path
     * @param password password of store and key
     */
    public record KeyStoreFile(Path file, String password) {
        @Override
        public String toString() {
            return "KeyStoreFile[file=" + file + "]";
        }
    }

    /**
     * Logs and traces.
     *
     * @param logLevel least level that is logged
     * @param otlp address of a collector, or empty
     */
    public record Telemetry(String logLevel, Optional<URI> otlp) {}

    /**
     * Bounds.
     *
     * @param headerBytes longest request header
     * @param bodyBytes longest request body
     * @param keyRecordBytes memory for records of idempotency keys
     * @param lookupTtl time for which callers may use a look-up answer
     * @param stop longest time of a planned stop
     */
    public record Limits(int headerBytes, long bodyBytes, long keyRecordBytes, Duration lookupTtl, Duration stop) {}

    /** Returns the cap of the link from one region to another in bits per second, or 0 if there is no link. */
    public long linkCap(String from, String to) {
        for (Link link : links) {
            if (link.from().equals(from) && link.to().equals(to)) {
                return link.bitsPerSecond();
            }
        }
        return 0;
    }

    /** Returns the region of each availability zone. */
    public Map<String, String> regionOfZone() {
        Map<String, String> regionOfZone = new java.util.TreeMap<>();
        regions.forEach((name, zones) -> zones.forEach(zone -> regionOfZone.put(zone, name)));
        return regionOfZone;
    }
}
