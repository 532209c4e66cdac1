/**
 * TCP connection of an HTTP client, as a stream that an HTTP server reads. It counts the memory that the connection holds, passes
 * received bytes on in slices, one in each turn of the event loop at most, and reads no further while too many of its requests are open.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import type { BudgetedConnection } from "./connectionBudget.js";
import type { ReadingTurns, WaitingConnection } from "./readingTurns.js";

/**
 * Largest number of bytes that are parsed in one turn of the event loop, and while connections wait for their turn. What a slice costs is
 * known only afterwards.
 */
const sliceBytes = 4096;
const contendedSliceBytes = 1024;

/** Memory of a connection without requests, in bytes. */
const idleConnectionBytes = 12 * 1024;

/** Memory of a request beyond its headers and its body while it is open, in bytes. */
const openRequestBytes = 12 * 1024;

/** Memory for each byte of incomplete headers or trailers: the shortest lines take several objects each. */
const incompleteHeaderCostFactor = 16;

/** Memory for each byte of the headers of an open request, and for each of their lines beside its bytes. */
const headerCostFactor = 2;
const headerLineBytes = 200;

/** Bytes of a header line beside its name and value: colon and line end. */
const headerLineOverheadBytes = 3;

/** Bytes of a request line beside method and path, and of the empty line that ends the headers. */
const requestLineOverheadBytes = 14;

const carriageReturn = 0x0d;
const lineFeed = 0x0a;

/** Limits of one connection, and what is told about it. */
export interface MeteredConnectionOptions {
    /** Largest number of open requests at which the connection is read on. */
    readonly maximumOpenRequests: number;
    /** Largest size of headers or trailers that the parser reads, in bytes. */
    readonly maximumParsedHeaderBytes: number;
    readonly nowMilliseconds: () => number;
    /** Shared by all connections of the process. */
    readonly turns: ReadingTurns;
    /** Called with each change of the held memory, in bytes; not after the connection was closed. */
    readonly onHeldChanged: (difference: number) => void;
}

interface OpenRequest {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly heldBytes: number;
}

/** Connection of an HTTP client. */
export class MeteredConnection extends Duplex implements BudgetedConnection, WaitingConnection {
    public finishedRequests = 0;
    /** {@inheritDoc WaitingConnection.spentMilliseconds} */
    public spentMilliseconds = 0;
    /** Time since which the bytes that are parsed next wait for their turn, in monotonic milliseconds; undefined when they don't. */
    public deferredSince: number | undefined;
    public waitingSince: number;
    /** Monotonic time at which the headers of the latest request were complete, in milliseconds. */
    public latestRequestAt = 0;
    private readonly openRequests = new Map<ServerResponse, OpenRequest>();
    private readonly received: Buffer[] = [];
    private receivedBytes = 0;
    /** Received bytes that the parser may hold as unfinished headers or trailers. */
    private unattributedBytes = 0;
    private bodyBytes = 0;
    private requestBytes = 0;
    private held = idleConnectionBytes;
    private latestSliceBytes = 0;
    private firstByteAt: number | undefined;
    private hasEnded = false;
    private isParserReading = false;
    private isTurnScheduled = false;
    private isDelivering = false;
    private latestRequest: IncomingMessage | undefined;
    /** True until the framing of the latest body has been deducted. */
    private hasFraming = false;
    private refusal: string | undefined;

    /**
     * @param socket - accepted TCP connection, which may be half open
     * @param options - limits and callbacks
     */
    public constructor(private readonly socket: Socket, private readonly options: MeteredConnectionOptions) {
        // At most one slice is buffered while the parser does not read.
        super({ allowHalfOpen: true, decodeStrings: false, readableHighWaterMark: 1 });
        this.waitingSince = options.nowMilliseconds();
        socket.on("data", (bytes: Buffer) => this.receive(bytes));
        socket.on("end", () => this.receiveEnd());
        socket.on("error", () => this.destroy());
        socket.on("close", () => this.destroy());
    }

    /** {@inheritDoc BudgetedConnection.heldBytes} */
    public get heldBytes(): number {
        return this.held;
    }

    /** {@inheritDoc BudgetedConnection.isWorking} */
    public get isWorking(): boolean {
        for (const { request, response } of this.openRequests.values()) {
            if (request.complete && !response.writableEnded) {
                return true;
            }
        }
        return false;
    }

    /** True while the body of the latest request is incomplete. */
    public get isReceivingBody(): boolean {
        return this.latestRequest !== undefined && !this.latestRequest.complete;
    }

    /** True once the connection only waits until it can be closed. */
    public get isRefused(): boolean {
        return this.refusal !== undefined;
    }

    /** True while received bytes wait until they are parsed in a later turn of the event loop. */
    public get isWaitingForTurn(): boolean {
        return this.isTurnScheduled && !this.destroyed;
    }

    /** Number of requests whose responses are not complete. */
    public get openRequestCount(): number {
        return this.openRequests.size;
    }

    /** True when no request is open and none is incomplete, but for its headers. */
    public get isIdle(): boolean {
        return this.openRequests.size === 0 && !this.isReceivingBody;
    }

    /** True when the client waits for no answer, but has sent bytes or no request at all. */
    public get isUnused(): boolean {
        return this.isIdle && (this.finishedRequests === 0 || this.firstByteAt !== undefined);
    }

    /** Bytes that were received since the latest request or the latest part of a body. */
    public get unfinishedBytes(): number {
        return this.unattributedBytes;
    }

    /** Time at which the first byte of incomplete headers was received, in monotonic milliseconds; undefined without one. */
    public get unfinishedSince(): number | undefined {
        return this.firstByteAt;
    }

    /** {@inheritDoc WaitingConnection.takeTurn} */
    public readonly takeTurn = (): void => {
        this.isTurnScheduled = false;
        this.deliver();
    };

    /** {@inheritDoc BudgetedConnection.close} */
    public readonly close = (): void => {
        this.destroy();
    };

    /**
     * Counts a request whose headers are complete, until its response is complete.
     *
     * @param request - received request
     * @param response - its response
     */
    public addRequest(request: IncomingMessage, response: ServerResponse): void {
        const headerBytes = measureHeaderBytes(request);
        const lines = request.rawHeaders.length / 2;
        const heldBytes = openRequestBytes + headerBytes * headerCostFactor + lines * headerLineBytes;
        this.unattributedBytes = Math.min(Math.max(0, this.unattributedBytes - headerBytes), this.latestSliceBytes);
        this.firstByteAt = undefined;
        this.latestRequest = request;
        this.hasFraming = true;
        this.latestRequestAt = this.options.nowMilliseconds();
        this.openRequests.set(response, { request, response, heldBytes });
        this.requestBytes += heldBytes;
        request.on("data", (bytes: Buffer) => {
            this.unattributedBytes = Math.max(0, this.unattributedBytes - bytes.length);
        });
        response.once("close", () => this.finishRequest(response));
        this.updateHeldBytes();
    }

    /**
     * Counts memory for the body of a request.
     *
     * @param difference - bytes that were added, negative when they were freed
     */
    public changeBodyBytes(difference: number): void {
        this.bodyBytes += difference;
        this.updateHeldBytes();
    }

    /**
     * Discards what is received from now on, and closes the connection with a response once all earlier requests are answered.
     *
     * @param response - response as it is sent
     */
    public refuse(response: string): void {
        this.refusal ??= response;
        this.received.length = 0;
        this.receivedBytes = 0;
        this.socket.resume();
        this.sendRefusal();
    }

    /** Ends the connection once what was written has been sent; the HTTP server calls it after the last response. */
    public destroySoon(): void {
        this.end(() => this.destroy());
    }

    /** Called by the stream when the parser reads. */
    public override _read(): void {
        this.isParserReading = true;
        this.deliver();
    }

    /** Called by the stream with bytes or texts to send. */
    public override _write(
        chunk: string | Uint8Array,
        encoding: BufferEncoding,
        callback: (error?: Error) => void,
    ): void {
        this.socket.write(chunk, encoding, error => callback(error ?? undefined));
    }

    /** Called by the stream when nothing more is sent. */
    public override _final(callback: () => void): void {
        this.socket.end(callback);
    }

    /** Called by the stream when it is destroyed. */
    public override _destroy(error: Error | null, callback: (error: Error | null) => void): void {
        this.socket.destroy();
        this.received.length = 0;
        callback(error);
    }

    private receive(bytes: Buffer): void {
        if (this.isRefused || this.destroyed) {
            return;
        }
        this.received.push(bytes);
        this.receivedBytes += bytes.length;
        if (this.options.turns.isUsedUp(this)) {
            this.socket.pause();
            this.deferredSince ??= this.options.nowMilliseconds();
            this.waitForTurn();
            this.updateHeldBytes();
            return;
        }
        this.deliver();
    }

    private receiveEnd(): void {
        if (this.isRefused) {
            this.destroy();
            return;
        }
        this.hasEnded = true;
        this.deliver();
    }

    /** Passes the next slice on, unless one was passed on in this turn, and reads from the socket only when none is left. */
    private deliver(): void {
        if (this.isDelivering || this.isTurnScheduled || this.destroyed || this.isRefused) {
            return;
        }
        if (this.isParserReading && this.openRequests.size < this.options.maximumOpenRequests) {
            this.isDelivering = true;
            this.deliverSlice();
            this.isDelivering = false;
        }
        if (this.receivedBytes > 0) {
            this.socket.pause();
        }
        else {
            this.socket.resume();
        }
        this.updateHeldBytes();
    }

    private deliverSlice(): void {
        const [first] = this.received;
        if (first === undefined) {
            if (this.hasEnded && !this.readableEnded) {
                // eslint-disable-next-line no-restricted-syntax -- The end of a stream has no other sign.
                this.push(null);
            }
            return;
        }
        const maximumBytes = this.options.turns.isContended ? contendedSliceBytes : sliceBytes;
        const slice = first.length <= maximumBytes ? first : first.subarray(0, maximumBytes);
        if (slice === first) {
            this.received.shift();
        }
        else {
            this.received[0] = first.subarray(maximumBytes);
        }
        this.receivedBytes -= slice.length;
        this.unattributedBytes += slice.length;
        this.latestSliceBytes = slice.length;
        if (!this.isReceivingBody && (this.firstByteAt !== undefined || !consistsOfLineEnds(slice))) {
            this.firstByteAt ??= this.options.nowMilliseconds();
        }
        this.isParserReading = false;
        const startedAt = this.options.nowMilliseconds();
        this.isParserReading = this.push(slice) || this.isParserReading;
        const milliseconds = this.options.nowMilliseconds() - startedAt;
        this.spentMilliseconds += milliseconds;
        this.options.turns.recordSpent(milliseconds);
        this.deferredSince = undefined;
        if (this.received.length > 0 || this.hasEnded) {
            this.waitForTurn();
        }
    }

    private waitForTurn(): void {
        if (!this.isTurnScheduled) {
            this.isTurnScheduled = true;
            this.options.turns.enqueue(this);
        }
    }

    private finishRequest(response: ServerResponse): void {
        const finished = this.openRequests.get(response);
        if (finished === undefined) {
            return;
        }
        this.openRequests.delete(response);
        this.requestBytes -= finished.heldBytes;
        this.finishedRequests += 1;
        this.spentMilliseconds = 0;
        this.waitingSince = this.options.nowMilliseconds();
        this.sendRefusal();
        this.deliver();
    }

    private sendRefusal(): void {
        if (this.refusal !== undefined && this.openRequests.size === 0 && this.writable) {
            this.write(this.refusal);
            this.destroySoon();
        }
    }

    /** The ends of chunks belong to no later request. */
    private forgetFraming(): void {
        if (this.hasFraming && !this.isReceivingBody) {
            this.hasFraming = false;
            this.unattributedBytes = Math.min(this.unattributedBytes, this.latestSliceBytes);
        }
    }

    private updateHeldBytes(): void {
        if (this.destroyed) {
            return;
        }
        this.forgetFraming();
        const headerBytes = Math.min(this.unattributedBytes, this.options.maximumParsedHeaderBytes);
        const held = idleConnectionBytes + headerBytes * incompleteHeaderCostFactor + this.receivedBytes
            + this.bodyBytes + this.requestBytes + this.writableLength + this.socket.writableLength;
        const difference = held - this.held;
        this.held = held;
        if (difference !== 0) {
            this.options.onHeldChanged(difference);
        }
    }
}

/** Empty lines may precede a request and begin none. */
function consistsOfLineEnds(bytes: Buffer): boolean {
    return bytes.every(byte => byte === carriageReturn || byte === lineFeed);
}

/** Smallest number of bytes in which the headers of a request can have arrived. */
function measureHeaderBytes(request: IncomingMessage): number {
    const { method = "", url = "", rawHeaders } = request;
    const lines = (rawHeaders.length / 2) * headerLineOverheadBytes;
    const first = method.length + url.length + requestLineOverheadBytes;
    return rawHeaders.reduce((sum, text) => sum + text.length, first + lines);
}
