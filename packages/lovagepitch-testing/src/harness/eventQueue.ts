/**
 * Events of a deployment in one process, ordered by time and, at one instant, by insertion.
 */
import type { ManualClock } from "@lovagepitch/utils/clock";

/** Carries out one event. */
export type EventHandler<Argument> = (argument: Argument) => void;

/** A binary heap over parallel arrays, so that an event costs no object of its own. */
export class EventQueue {
    private readonly times: number[] = [];
    private readonly insertionNumbers: number[] = [];
    private readonly handlers: EventHandler<never>[] = [];
    private readonly handlerArguments: unknown[] = [];
    private nextInsertionNumber = 0;

    /**
     * @param clock - the clock of the deployment; only this queue moves it
     */
    public constructor(private readonly clock: ManualClock) {}

    /** Number of events that wait. */
    public get size(): number {
        return this.times.length;
    }

    /** Instant of the next event in milliseconds since the epoch, or undefined when none waits. */
    public get nextEventAtMilliseconds(): number | undefined {
        return this.times[0];
    }

    /**
     * Adds an event.
     *
     * @param atMilliseconds - instant, in milliseconds since the epoch; a past one means now
     * @param handler - carries out the event; reuse it between events
     * @param argument - what the handler gets
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
        const argument = this.handlerArguments[0];
        this.removeFirst();
        this.clock.advanceTo(time);
        handler(argument);
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
