package org.cowsliplatch.internal.util;

/** Tokens that refill at a steady rate up to a limit; safe for use by several threads. */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Ticker ticker;
    private double capacity;
    private double perSecond;
    private double tokens;
    private long at;

    /**
     * Creates a full bucket.
     *
     * @param ticker clock
     * @param perSecond tokens added each second
     * @param capacity most tokens kept
     */
    public TokenBucket(Ticker ticker, double perSecond, double capacity) {
        this.ticker = ticker;
        this.perSecond = perSecond;
        this.capacity = capacity;
        this.tokens = capacity;
        this.at = ticker.nanos();
    }

    /** Takes tokens if they are there; returns whether it did. */
    public synchronized boolean tryTake(double amount) {
        refill();
        if (tokens < amount) {
            return false;
        }
        tokens -= amount;
        return true;
    }

    /** Takes tokens even if that leaves fewer than none. */
    public synchronized void take(double amount) {
        refill();
        tokens -= amount;
    }

    /** Adds tokens, up to the limit. */
    public synchronized void put(double amount) {
        refill();
        tokens = Math.min(capacity, tokens + amount);
    }

    /** Changes the refill rate and the most tokens kept; tokens over that are lost. */
    public synchronized void resize(double newPerSecond, double newCapacity) {
        refill();
        perSecond = newPerSecond;
        capacity = newCapacity;
        tokens = Math.min(capacity, tokens);
    }

    /** Returns the tokens there are now; negative after {@link #take}. */
    public synchronized double available() {
        refill();
        return tokens;
    }

    private void refill() {
        long now = ticker.nanos();
        tokens = Math.min(capacity, tokens + perSecond * (now - at) / NANOS_PER_SECOND);
        at = now;
    }
}
