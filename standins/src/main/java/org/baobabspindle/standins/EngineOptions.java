package org.baobabspindle.standins;

/**
 * The configuration of an {@link EngineStandin}.
 *
 * @param id the id of the instance
 * @param host the IP address to listen on
 * @param port the TCP port; 0 selects a free one
 * @param domain the fabric domain
 * @param zone the availability zone
 * @param region the region
 * @param checksFencing whether orders with a stale fencing number are rejected
 * @param loadMillis the time to load a part of a model, in milliseconds
 * @param tokenMillis the time between tokens, in milliseconds
 * @param firstTokenMillis the time to the first token of a prompt that is not cached, in milliseconds
 * @param maxRunning the maximum number of concurrent requests; further ones are rejected before they run
 * @param weightsUrl the base URL of the weight store, or empty to load without one
 * @param haltsOnCrash whether a crash halts the process instead of closing the server
 */
public record EngineOptions(
        String id,
        String host,
        int port,
        String domain,
        String zone,
        String region,
        boolean checksFencing,
        int loadMillis,
        int tokenMillis,
        int firstTokenMillis,
        int maxRunning,
        String weightsUrl,
        boolean haltsOnCrash) {}
