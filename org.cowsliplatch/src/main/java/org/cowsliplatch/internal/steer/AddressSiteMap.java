package org.cowsliplatch.internal.steer;

import java.util.Arrays;
import java.util.OptionalInt;

/**
 * The site of each block of client addresses; immutable and compact: 6 bytes for a block.
 *
 * <p>A block begins at an address and ends before the next block's. Addresses are IPv4, as unsigned 32-bit numbers.
 */
public final class AddressSiteMap {
    private final int[] starts;
    private final short[] sites;

    private AddressSiteMap(int[] starts, short[] sites) {
        this.starts = starts;
        this.sites = sites;
    }

    /**
     * Returns blocks.
     *
     * @param starts first address of each block, ascending as unsigned numbers
     * @param sites site of each block, from 0 to 65535
     * @throws IllegalArgumentException if the lengths differ or the addresses do not ascend
     */
    public static AddressSiteMap of(int[] starts, short[] sites) {
        if (starts.length != sites.length) {
            throw new IllegalArgumentException(starts.length + " blocks with " + sites.length + " sites");
        }
        for (int i = 1; i < starts.length; i++) {
            if (Integer.compareUnsigned(starts[i - 1], starts[i]) >= 0) {
                throw new IllegalArgumentException("block " + i + " does not begin after the one before it");
            }
        }
        return new AddressSiteMap(starts.clone(), sites.clone());
    }

    /** Returns the number of blocks. */
    public int size() {
        return starts.length;
    }

    /** Returns the site of an address, or empty if it lies before the first block. */
    public OptionalInt site(int address) {
        int index = indexOf(address);
        return index < 0 ? OptionalInt.empty() : OptionalInt.of(sites[index] & 0xffff);
    }

    /**
     * Returns these blocks with others steered to new sites; the addresses are shared.
     *
     * @param addresses an address of each block to change
     * @param newSites site of each
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

    /** Returns the bytes that the blocks take. */
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
