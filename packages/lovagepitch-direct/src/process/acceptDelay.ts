/**
 * Delay until connections are accepted. Node.js accepts one connection of a server in each turn of the event loop, so in a process that
 * is starved a new connection and the request on it may wait for many turns.
 */

/** Finds how long a connection may have waited until it was accepted. */
export class AcceptDelay {
    /** Earliest arrival of the connections that are accepted in consecutive turns; undefined while none is waiting. */
    private earliestArrival: number | undefined;
    private hasAccepted = false;

    /**
     * @param findEarliestArrival - finds the earliest instant at which what is read now may have arrived
     */
    public constructor(private readonly findEarliestArrival: () => number) {}

    /**
     * Records that a connection was accepted.
     *
     * @returns earliest instant at which it may have arrived, in monotonic milliseconds
     */
    public recordAccepted(): number {
        this.hasAccepted = true;
        if (this.earliestArrival === undefined) {
            this.earliestArrival = this.findEarliestArrival();
            setImmediate(() => this.checkTurn());
        }
        return this.earliestArrival;
    }

    /** No connection is waiting once a turn has accepted none. */
    private checkTurn(): void {
        if (this.hasAccepted) {
            this.hasAccepted = false;
            setImmediate(() => this.checkTurn());
        }
        else {
            this.earliestArrival = undefined;
        }
    }
}
