/**
 * Memory and descriptors that all connections of a listener use together. When they run short, connections are closed in an
 * order that keeps ordinary clients: those that hold much and have finished little go first, those whose complete request is
 * being processed go last.
 */
import type { ConnectionLimits } from "./connectionLimits.js";

/** Part of the limit down to which memory is freed, so that connections are not compared for every further byte. */
const freedPart = 0.9;

/** Part of the limit that connections whose requests are being processed may hold. */
const maximumWorkingPart = 0.8;

/** The same for further requests of a connection, so that other connections have room. */
const maximumWorkingPartForFurther = 0.6;

/** Why a connection was closed or not accepted. */
export type ClosingReason = "memory" | "descriptors" | "all-working";

/** A connection as the budget sees it. */
export interface BudgetedConnection {
    /** Upper estimate of the memory that it holds, in bytes. */
    readonly heldBytes: number;
    /** True while a complete request of it is being processed. */
    readonly isWorking: boolean;
    /** Number of requests that were answered. */
    readonly finishedRequests: number;
    /** Monotonic time at which it was accepted or finished its latest request, in milliseconds. */
    readonly waitingSince: number;
    /** Closes the connection immediately. */
    readonly close: () => void;
}

/** Keeps the connections of one listener within its limits. */
export class ConnectionBudget<Connection extends BudgetedConnection> {
    private readonly connections = new Set<Connection>();
    private sum = 0;

    /**
     * @param limits - limits of the listener
     * @param onClosed - called for each connection that is closed for the sake of the others
     */
    public constructor(
        private readonly limits: ConnectionLimits,
        private readonly onClosed: (reason: ClosingReason, connection: Connection) => void,
    ) {}

    /** Bytes that all connections hold. */
    public get heldBytes(): number {
        return this.sum;
    }

    /** Number of open connections. */
    public get openConnections(): number {
        return this.connections.size;
    }

    /** All open connections. */
    public get open(): Iterable<Connection> {
        return this.connections;
    }

    /**
     * Tells whether another request may be processed beside those that are being processed.
     *
     * @param isFurther - true when its connection has other open requests
     * @returns true when there is room for it
     */
    public hasRoomForRequest(isFurther: boolean): boolean {
        const part = isFurther ? maximumWorkingPartForFurther : maximumWorkingPart;
        const limit = this.limits.maximumHeldBytes * part;
        if (this.sum <= limit) {
            return true;
        }
        let working = 0;
        for (const connection of this.connections) {
            working += connection.isWorking ? connection.heldBytes : 0;
        }
        return working <= limit;
    }

    /**
     * Adds an accepted connection, for which another one may have to be closed.
     *
     * @param connection - connection that was accepted
     * @returns false when it was closed instead, because all others are working
     */
    public add(connection: Connection): boolean {
        if (this.connections.size >= this.limits.maximumConnections && !this.freeDescriptor()) {
            this.onClosed("all-working", connection);
            connection.close();
            return false;
        }
        this.connections.add(connection);
        this.change(connection, connection.heldBytes);
        return true;
    }

    /**
     * Removes a connection that has closed.
     *
     * @param connection - connection that was added
     */
    public remove(connection: Connection): void {
        if (this.connections.delete(connection)) {
            this.sum -= connection.heldBytes;
        }
    }

    /**
     * Counts a change of the memory that a connection holds, and closes connections when the limit is exceeded. A change of a connection
     * that was removed is not counted.
     *
     * @param connection - connection that was added
     * @param difference - bytes that were added, negative when they were freed
     */
    public change(connection: Connection, difference: number): void {
        if (!this.connections.has(connection)) {
            return;
        }
        this.sum += difference;
        if (this.sum > this.limits.maximumHeldBytes) {
            this.freeMemory();
        }
    }

    private freeDescriptor(): boolean {
        let victim: Connection | undefined;
        for (const connection of this.connections) {
            if (!connection.isWorking && (victim === undefined || finishesLess(connection, victim))) {
                victim = connection;
            }
        }
        if (victim !== undefined) {
            this.close("descriptors", victim);
        }
        return victim !== undefined;
    }

    private freeMemory(): void {
        const ordered = [...this.connections]
            .map(connection => ({ connection, isWorking: connection.isWorking, held: connection.heldBytes }))
            .sort((left, right) => Number(left.isWorking) - Number(right.isWorking) || right.held - left.held);
        for (const { connection } of ordered) {
            if (this.sum <= this.limits.maximumHeldBytes * freedPart) {
                return;
            }
            this.close("memory", connection);
        }
    }

    private close(reason: ClosingReason, connection: Connection): void {
        this.onClosed(reason, connection);
        this.remove(connection);
        connection.close();
    }
}

function finishesLess(left: BudgetedConnection, right: BudgetedConnection): boolean {
    return left.finishedRequests !== right.finishedRequests
        ? left.finishedRequests < right.finishedRequests
        : left.waitingSince < right.waitingSince;
}
