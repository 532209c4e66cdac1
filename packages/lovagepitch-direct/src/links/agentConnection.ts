/**
 * Connection of an agent as the budget of an entry's connections sees it.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import type { BudgetedConnection } from "../connections/connectionBudget.js";
import type { FrameStream } from "./frameStream.js";

/** Memory of a connection without an incomplete frame, in bytes. */
const idleConnectionBytes = 8 * 1024;

/** Counts the frames and the memory of one connection. */
export class AgentConnection implements BudgetedConnection {
    public waitingSince: number;
    private frames = 0;
    private held = idleConnectionBytes;

    /**
     * @param stream - frames on the connection
     * @param clock - monotonic clock
     * @param onHeldChanged - called with each change of the held memory, in bytes
     */
    public constructor(
        private readonly stream: Pick<FrameStream<unknown, unknown>, "close" | "heldBytes">,
        private readonly clock: Clock,
        private readonly onHeldChanged: (difference: number) => void,
    ) {
        this.waitingSince = clock.nowMilliseconds();
    }

    /** {@inheritDoc BudgetedConnection.heldBytes} */
    public get heldBytes(): number {
        return this.held;
    }

    /** {@inheritDoc BudgetedConnection.finishedRequests} */
    public get finishedRequests(): number {
        return this.frames;
    }

    /** True once a frame was read: the other end is an agent. */
    public get isWorking(): boolean {
        return this.frames > 0;
    }

    /** {@inheritDoc BudgetedConnection.close} */
    public readonly close = (): void => {
        this.stream.close("connections hold too much memory or too many descriptors");
    };

    /** Counts a received frame. */
    public recordFrame(): void {
        this.frames += 1;
        this.waitingSince = this.clock.nowMilliseconds();
    }

    /** Counts the memory of the incomplete frame. */
    public updateHeldBytes(): void {
        const held = idleConnectionBytes + this.stream.heldBytes;
        const difference = held - this.held;
        this.held = held;
        if (difference !== 0) {
            this.onHeldChanged(difference);
        }
    }
}
