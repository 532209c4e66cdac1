/**
 * Durations that agents and entries must agree on, in milliseconds on monotonic clocks.
 */

/** Lease of a worker's runs: below the platform's limit of 1 s, and long enough for four lost renewals. */
export const workerLeaseMilliseconds = 700;

/** Longest lease that a worker grants, whatever an order asks for; a limit of the platform. */
export const longestWorkerLeaseMilliseconds = 1000;

/** Relative rate error that the platform permits for a worker's clock. */
export const workerClockRateError = 0.02;

/**
 * Lease of an entry's runs at an agent: without frames from the entry for this long, the agent stops them. Spans
 * several heartbeats.
 */
export const entryLeaseMilliseconds = 500;

/** Longest interval between frames on a connection between agent and entry while the entry has runs at the agent. */
export const heartbeatIntervalMilliseconds = 100;

/** Longest interval between frames on a connection without runs, where no lease has to be renewed. */
export const idleHeartbeatIntervalMilliseconds = 250;

/** A peer that has sent no frame for this long while the entry has runs at the agent counts as silent. */
export const silenceLimitMilliseconds = 300;

/** A peer that has sent no frame for this long on a connection without runs counts as silent. */
export const idleSilenceLimitMilliseconds = 750;

/** Allowance for the delay between a decision and its effect: timers, queues and the worker's time to stop a run. */
export const reactionAllowanceMilliseconds = 60;

/**
 * Time after the last frame from an agent within which all runs of the entry there end. A running agent stops them
 * when the entry's lease expires; without a running agent, the worker's lease expires.
 */
export const lostAgentTimeoutMilliseconds = entryLeaseMilliseconds + reactionAllowanceMilliseconds
    + Math.ceil(workerLeaseMilliseconds * (1 + workerClockRateError));

/** An order to the worker without an answer for this long counts as unanswered; a worker answers within a few. */
export const orderTimeoutMilliseconds = 40;

/**
 * Delay before the next view call after a failed one while the worker has no run, in milliseconds. A worker that
 * responds again is detected within this time.
 */
export const idleViewRetryDelayMilliseconds = 150;
