/**
 * Event queue of a simulated deployment, ordered by time; events at the same time run in the order of insertion.
 */
import type { ManualClock } from "@lovagepitch/utils/clock";

/** Handles an event. */
export type EventHandler<Argument> = (argument: Argument) => void;

/** Binary heap over parallel arrays, which avoids allocating an object for each event. */
export class EventQueue {
    private readonly times: number[] = [];
    private readonly insertionNumbers: number[] = [];
    private readonly handlers: EventHandler<never>[] = [];
    private readonly handlerArguments: unknown[] = [];
    private nextInsertionNumber = 0;

    /**
     * @param clock - clock of the deployment; only this queue advances it
     */
    public constructor(private readonly clock: ManualClock) {}

    /** Number of scheduled events. */
    public get size(): number {
        return this.times.length;
    }

    /** Time of the next event, in milliseconds since the epoch, or undefined if the queue is empty. */
    public get nextEventAtMilliseconds(): number | undefined {
        return this.times[0];
    }

    /**
     * Schedules an event.
     *
     * @param atMilliseconds - time of the event, in milliseconds since the epoch; a time in the past means now
     * @param handler - handles the event; reuse the function to avoid allocating a closure for each event
     * @param argument - argument that the handler is called with
     */
    public schedule<Argument>(atMilliseconds: number, handler: EventHandler<Argument>, argument: Argument): void {
        const last = this.times.length;
        this.times.push(Math.max(atMilliseconds, this.clock.nowMilliseconds()));
        this.insertionNumbers.push(this.nextInsertionNumber);
        this.handlers.push(handler);
        this.handlerArguments.push(argument);
        this.nextInsertionNumber += 1;
        this.siftUp(last);
    }

    /**
     * Advances the clock to the next event and runs it.
     *
     * @returns false if the queue is empty
     */
    public runNext(): boolean {
        const time = this.times[0];
        if (time === undefined) {
            return false;
        }
        const handler = this.handlers[0] as EventHandler<unknown>;
        const argument = this.handlerArguments[0];
        this.removeFirst();
        this.clock.advanceTo(time);
        handler(argument);
        return true;
    }

    /**
     * Runs all events up to a time and advances the clock to it.
     *
     * @param instantMilliseconds - end of the period, in milliseconds since the epoch
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
        this.insertionNumbers.pop();
        this.handlers.pop();
        this.handlerArguments.pop();
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
        return (this.insertionNumbers[left] as number) < (this.insertionNumbers[right] as number);
    }

    private swap(left: number, right: number): void {
        swapItems(this.times, left, right);
        swapItems(this.insertionNumbers, left, right);
        swapItems(this.handlers, left, right);
        swapItems(this.handlerArguments, left, right);
    }
}

function swapItems<Item>(items: Item[], left: number, right: number): void {
    const leftItem = items[left] as Item;
    items[left] = items[right] as Item;
    items[right] = leftItem;
}
