/**
 * Events of a deployment in one process, ordered by time and, at one instant, by insertion.
 */
import type { ManualClock } from "@lovagepitch/utils/clock";

/** Carries out one event. */
export type EventHandler<Operand> = (operand: Operand) => void;

/** A binary heap over parallel arrays, so that an event costs no object of its own. */
export class EventQueue {
    private readonly times: number[] = [];
    private readonly orders: number[] = [];
    private readonly handlers: EventHandler<never>[] = [];
    private readonly operands: unknown[] = [];
    private nextOrder = 0;

    /**
     * @param clock - the clock of the deployment; only this queue moves it
     */
    public constructor(private readonly clock: ManualClock) {}

    /** Number of events that wait. */
    public get size(): number {
        return this.times.length;
    }

    /** Instant of the next event in milliseconds since the epoch, or undefined when none waits. */
    public get nextMilliseconds(): number | undefined {
        return this.times[0];
    }

    /**
     * Adds an event.
     *
     * @param atMilliseconds - instant, in milliseconds since the epoch; a past one means now
     * @param handler - carries out the event; reuse it between events
     * @param operand - what the handler gets
     */
    public schedule<Operand>(atMilliseconds: number, handler: EventHandler<Operand>, operand: Operand): void {
        const last = this.times.length;
        this.times.push(Math.max(atMilliseconds, this.clock.nowMilliseconds()));
        this.orders.push(this.nextOrder);
        this.handlers.push(handler);
        this.operands.push(operand);
        this.nextOrder += 1;
        this.siftUp(last);
    }

    /**
     * Carries out the next event and moves the clock to its instant.
     *
     * @returns false when no event waits
     */
    public runNext(): boolean {
        const time = this.times[0];
        if (time === undefined) {
            return false;
        }
        const handler = this.handlers[0] as EventHandler<unknown>;
        const operand = this.operands[0];
        this.removeFirst();
        this.clock.advanceTo(time);
        handler(operand);
        return true;
    }

    /**
     * Carries out every event up to an instant and moves the clock there.
     *
     * @param instantMilliseconds - the instant, in milliseconds since the epoch
     */
    public runUntil(instantMilliseconds: number): void {
        for (;;) {
            const time = this.times[0];
            if (time === undefined || time > instantMilliseconds) {
                break;
            }
            this.runNext();
        }
        this.clock.advanceTo(instantMilliseconds);
    }

    private removeFirst(): void {
        const last = this.times.length - 1;
        this.swap(0, last);
        this.times.pop();
        this.orders.pop();
        this.handlers.pop();
        this.operands.pop();
        this.siftDown();
    }

    private siftUp(start: number): void {
        let child = start;
        while (child > 0) {
            const parent = (child - 1) >> 1;
            if (!this.isBefore(child, parent)) {
                return;
            }
            this.swap(child, parent);
            child = parent;
        }
    }

    private siftDown(): void {
        const size = this.times.length;
        let parent = 0;
        for (;;) {
            const left = 2 * parent + 1;
            if (left >= size) {
                return;
            }
            const right = left + 1;
            const child = right < size && this.isBefore(right, left) ? right : left;
            if (!this.isBefore(child, parent)) {
                return;
            }
            this.swap(child, parent);
            parent = child;
        }
    }

    private isBefore(left: number, right: number): boolean {
        const leftTime = this.times[left] as number;
        const rightTime = this.times[right] as number;
        if (leftTime !== rightTime) {
            return leftTime < rightTime;
        }
        return (this.orders[left] as number) < (this.orders[right] as number);
    }

    private swap(left: number, right: number): void {
        swapItems(this.times, left, right);
        swapItems(this.orders, left, right);
        swapItems(this.handlers, left, right);
        swapItems(this.operands, left, right);
    }
}

function swapItems<Item>(items: Item[], left: number, right: number): void {
    const kept = items[left] as Item;
    items[left] = items[right] as Item;
    items[right] = kept;
}
