package org.cowsliplatch.benchmarks;

/** Gets each request to an endpoint, or refuses it. */
interface Sharing {
    /** A request arrived at its entry instance. */
    void arrive(Job job);
}
