package org.cowsliplatch.internal.steer;

import java.util.Arrays;
import java.util.OptionalInt;

/**
 * Maps blocks of client addresses to sites; immutable and compact, with 6 bytes per block.
 *
 * <p>A block extends from its first address to the address before the next block. Addresses are IPv4 addresses as
 * unsigned 32-bit numbers.
 */
public final class AddressSiteMap {
    private final int[] starts;
    private final short[] sites;

    private AddressSiteMap(int[] starts, short[] sites) {
        this.starts = starts;
        this.sites = sites;
    }

    /**
     * Creates a map from blocks to sites.
     *
     * @param starts first address of each block, in ascending unsigned order
     * @param sites site of each block, from 0 to 65535
     * @throws IllegalArgumentException if the lengths differ or the addresses are not in ascending order
     */
    public static AddressSiteMap of(int[] starts, short[] sites) {
        if (starts.length != sites.length) {
            throw new IllegalArgumentException(starts.length + " block starts but " + sites.length + " sites");
        }
        for (int i = 1; i < starts.length; i++) {
            if (Integer.compareUnsigned(starts[i - 1], starts[i]) >= 0) {
                throw new IllegalArgumentException(
                        "start of block " + i + " is not greater than the start of the block before it");
            }
        }
        return new AddressSiteMap(starts.clone(), sites.clone());
    }

    /** Returns the number of blocks. */
    public int size() {
        return starts.length;
    }

    /** Returns the site of an address, or empty if the address precedes the first block. */
    public OptionalInt site(int address) {
        int index = indexOf(address);
        return index < 0 ? OptionalInt.empty() : OptionalInt.of(sites[index] & 0xffff);
    }

    /**
     * Returns a copy of this map in which some blocks have new sites; the copy shares the array of addresses.
     *
     * @param addresses an address within each block to change; addresses before the first block are ignored
     * @param newSites new site of each of these blocks
     */
    public AddressSiteMap with(int[] addresses, short[] newSites) {
        short[] changed = sites.clone();
        for (int i = 0; i < addresses.length; i++) {
            int index = indexOf(addresses[i]);
            if (index >= 0) {
                changed[index] = newSites[i];
            }
        }
        return new AddressSiteMap(starts, changed);
    }

    /** Returns the memory used by the arrays of addresses and sites, in bytes. */
    public long bytes() {
        return (long) starts.length * Integer.BYTES + (long) sites.length * Short.BYTES;
    }

    private int indexOf(int address) {
        int low = 0;
        int high = starts.length - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            if (Integer.compareUnsigned(starts[middle], address) <= 0) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return high;
    }

    @Override
    public String toString() {
        return "AddressSiteMap[" + starts.length + " blocks, " + Arrays.hashCode(sites) + "]";
    }
}
