package org.cowsliplatch.internal.util;

/** Token bucket: refills at a constant rate up to its capacity. Thread-safe. */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Ticker ticker;
    private double capacity;
    private double perSecond;
    private double tokens;
    private long refilledNanos;

    /**
     * Creates a full bucket.
     *
     * @param ticker clock
     * @param perSecond refill rate in tokens per second
     * @param capacity maximum number of tokens
     */
    public TokenBucket(Ticker ticker, double perSecond, double capacity) {
        this.ticker = ticker;
        this.perSecond = perSecond;
        this.capacity = capacity;
        this.tokens = capacity;
        this.refilledNanos = ticker.nanos();
    }

    /** Takes tokens if enough are available; returns whether they were taken. */
    public synchronized boolean tryTake(double amount) {
        refill();
        if (tokens < amount) {
            return false;
        }
        tokens -= amount;
        return true;
    }

    /** Takes tokens unconditionally; the balance may become negative. */
    public synchronized void take(double amount) {
        refill();
        tokens -= amount;
    }

    /** Adds tokens, up to the capacity. */
    public synchronized void put(double amount) {
        refill();
        tokens = Math.min(capacity, tokens + amount);
    }

    /** Changes the refill rate and the capacity; tokens above the new capacity are discarded. */
    public synchronized void resize(double newPerSecond, double newCapacity) {
        refill();
        perSecond = newPerSecond;
        capacity = newCapacity;
        tokens = Math.min(capacity, tokens);
    }

    /** Returns the number of tokens available now; may be negative after {@link #take}. */
    public synchronized double available() {
        refill();
        return tokens;
    }

    private void refill() {
        long now = ticker.nanos();
        tokens = Math.min(capacity, tokens + perSecond * (now - refilledNanos) / NANOS_PER_SECOND);
        refilledNanos = now;
    }
}
