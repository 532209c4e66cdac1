/**
 * Division of the processor's time among the connections whose bytes are parsed. Bytes in very small chunks cost much more than others;
 * without a limit, many connections that send them take each turn of the event loop for seconds.
 */

/**
 * Time in one turn of the event loop after which connections wait for the next one that have begun a request, in milliseconds; the shorter
 * one after a turn in which a connection was accepted. Node.js accepts one in each turn, and more may wait.
 */
const turnMilliseconds = 5;
const acceptingTurnMilliseconds = 1;

/**
 * The same time for connections with a new request, in milliseconds. Most requests are parsed in one turn, and those of a burst cost less when
 * they are processed together.
 */
const newRequestTurnMilliseconds = 20;

/** Times for the bytes of one request above which its connection lets those below go first, in milliseconds. */
const levelMilliseconds: readonly number[] = [0, 2];

/** A connection that has bytes to be parsed. */
export interface WaitingConnection {
    /** Time that the unfinished request of the connection has taken, in milliseconds. */
    readonly spentMilliseconds: number;
    /** Parses the next bytes, at most once a turn. */
    readonly takeTurn: () => void;
}

/** Queues of the connections that wait for their turn. Those with costly requests get what others leave, and one of them each turn. */
export class ReadingTurns {
    /** One queue for each level, and one for the connections above all of them. */
    private readonly queues = [...levelMilliseconds, Infinity].map(() => new Set<WaitingConnection>());
    private spentInTurn = 0;
    private hasAccepted = false;
    private turnLimit = turnMilliseconds;
    private hasLeftOut = false;
    private isScheduled = false;

    /**
     * Tells whether received bytes have to wait because the time of this turn of the event loop is used up.
     *
     * @param connection - connection that has received them
     * @returns true when they are to be parsed in a later turn
     */
    public isUsedUp({ spentMilliseconds }: WaitingConnection): boolean {
        return this.spentInTurn >= (spentMilliseconds === 0 ? newRequestTurnMilliseconds : this.turnLimit);
    }

    /** True when connections wait because the time of the latest turn did not suffice for all. */
    public get isContended(): boolean {
        return this.hasLeftOut;
    }

    /**
     * Adds a connection to the end of its queue.
     *
     * @param connection - connection that waits; it is in the queue at most once
     */
    public enqueue(connection: WaitingConnection): void {
        const level = levelMilliseconds.filter(milliseconds => connection.spentMilliseconds > milliseconds).length;
        this.queues[level]?.add(connection);
        this.schedule();
    }

    /** Records that a connection was accepted in this turn of the event loop. */
    public recordAccepted(): void {
        this.hasAccepted = true;
        this.schedule();
    }

    /**
     * Counts time that was spent on a connection's bytes.
     *
     * @param milliseconds - time from the beginning to the end of parsing
     */
    public recordSpent(milliseconds: number): void {
        this.spentInTurn += milliseconds;
        this.schedule();
    }

    private schedule(): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            setImmediate(() => this.run());
        }
    }

    private run(): void {
        this.isScheduled = false;
        this.spentInTurn = 0;
        this.turnLimit = this.hasAccepted ? acceptingTurnMilliseconds : turnMilliseconds;
        this.hasAccepted = false;
        this.hasLeftOut = false;
        // What is added while the queues are processed waits for the next turn.
        const waiting = this.queues.map(queue => [...queue]);
        const costliest = waiting.pop() ?? [];
        this.process(costliest.slice(0, 1));
        waiting.forEach(connections => this.process(connections));
        this.process(costliest.slice(1));
    }

    private process(connections: readonly WaitingConnection[]): void {
        for (const connection of connections) {
            if (this.isUsedUp(connection)) {
                this.hasLeftOut = true;
                return;
            }
            if (this.remove(connection)) {
                connection.takeTurn();
            }
        }
    }

    /** Removes a connection from its queue; it has had its turn when it is in none. */
    private remove(connection: WaitingConnection): boolean {
        return this.queues.some(queue => queue.delete(connection));
    }
}
