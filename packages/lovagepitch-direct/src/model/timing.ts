/**
 * Times that agents and entries have to agree on, in milliseconds on steady clocks.
 */

/** How long a worker goes on without a renewal; below the platform's bound of 1 s, and room for four lost renewals. */
export const workerLeaseMilliseconds = 700;

/** Rate error of a worker's clock that the platform allows. */
export const workerClockError = 0.02;

/** An agent stops an entry's runs when it has not heard from the entry for this long; several heartbeats may be lost. */
export const entryLeaseMilliseconds = 500;

/** Longest silence on a connection between agent and entry while nothing else is to be said. */
export const heartbeatIntervalMilliseconds = 100;

/** Allowance for the time between a decision and its effect: timers, queues and the worker's stop. */
export const reactionMilliseconds = 60;

/**
 * Time after the last sign of an agent until none of the entry's runs is left there: the agent, if it lives, stops them
 * for want of a sign of the entry; if it does not, their lease runs out.
 */
export const lostAgentBoundMilliseconds = entryLeaseMilliseconds + reactionMilliseconds
    + Math.ceil(workerLeaseMilliseconds * (1 + workerClockError));
