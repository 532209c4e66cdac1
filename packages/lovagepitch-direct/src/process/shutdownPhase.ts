/**
 * A planned stop of an entry: callers on open connections are served until the balancer sends new ones elsewhere.
 */

/** Time until the platform's balancer has missed two readiness checks, with a margin, in milliseconds. */
const rotationRemovalMilliseconds = 2500;

/** Share of the time until the kill after which new jobs are refused, so that open ones can end. */
const servingFraction = 0.5;

/** Left for writing the last answers before the kill, in milliseconds. */
const closingReserveMilliseconds = 500;

/** What an entry does at some moment of its stop. */
export type ShutdownPhase =
    /** New jobs are taken; responses close their connections. */
    | "serving"
    /** New jobs are refused; open ones go on. */
    | "refusing"
    /** Open jobs are interrupted and answered. */
    | "interrupting"
    /** Nothing is left to do. */
    | "over";

/**
 * Tells what to do during a planned stop.
 *
 * @param elapsedMilliseconds - since the stop was asked for
 * @param killMilliseconds - when the platform kills the process
 * @param openRequests - callers that wait for an answer
 * @param openConnections - callers' connections
 * @returns the phase
 */
export function findShutdownPhase(
    elapsedMilliseconds: number,
    killMilliseconds: number,
    openRequests: number,
    openConnections: number,
): ShutdownPhase {
    if (elapsedMilliseconds >= killMilliseconds - closingReserveMilliseconds) {
        return openRequests === 0 ? "over" : "interrupting";
    }
    const isOutOfRotation = elapsedMilliseconds >= rotationRemovalMilliseconds;
    if (isOutOfRotation && openRequests === 0 && openConnections === 0) {
        return "over";
    }
    return elapsedMilliseconds >= killMilliseconds * servingFraction ? "refusing" : "serving";
}
