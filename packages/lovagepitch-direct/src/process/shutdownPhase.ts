/**
 * Phases of the graceful shutdown of an entry: callers are served until the balancer sends new ones to other entries.
 */

/** Time until two of the platform balancer's readiness checks have failed, with a margin, in milliseconds. */
const rotationRemovalMilliseconds = 2500;

/** Fraction of the time until the kill after which new jobs are refused, so that open ones can end. */
const servingFraction = 0.5;

/** Time reserved for writing the last answers before the kill, in milliseconds. */
const closingReserveMilliseconds = 500;

/** Phase of the graceful shutdown of an entry. */
export type ShutdownPhase =
    /** New jobs are accepted; responses close their connections. */
    | "serving"
    /** New jobs are refused; open jobs continue. */
    | "refusing"
    /** Open jobs are interrupted and answered. */
    | "interrupting"
    /** All requests are answered; the process exits. */
    | "complete";

/**
 * Determines the phase of a graceful shutdown.
 *
 * @param elapsedMilliseconds - time since the shutdown was requested
 * @param killMilliseconds - time from the request until the platform kills the process
 * @param openRequests - number of requests that wait for an answer
 * @param openConnections - number of callers' open connections
 * @returns the current phase
 */
export function findShutdownPhase(
    elapsedMilliseconds: number,
    killMilliseconds: number,
    openRequests: number,
    openConnections: number,
): ShutdownPhase {
    if (elapsedMilliseconds >= killMilliseconds - closingReserveMilliseconds) {
        return openRequests === 0 ? "complete" : "interrupting";
    }
    const isOutOfRotation = elapsedMilliseconds >= rotationRemovalMilliseconds;
    if (isOutOfRotation && openRequests === 0 && openConnections === 0) {
        return "complete";
    }
    return elapsedMilliseconds >= killMilliseconds * servingFraction ? "refusing" : "serving";
}
