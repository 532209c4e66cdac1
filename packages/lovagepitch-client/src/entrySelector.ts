/**
 * Choice of the entry that a request goes to.
 */
import type { Clock } from "@lovagepitch/utils/clock";

/** Time for which an entry that gave no answer is tried last. */
const avoidanceMilliseconds = 2000;

/** Takes entries in turn and tries those that failed lately last. */
export class EntrySelector {
    private readonly avoidedUntil = new Map<string, number>();
    private position = 0;

    /**
     * @param entries - base addresses, at least one
     * @param clock - source of time
     */
    public constructor(private readonly entries: readonly string[], private readonly clock: Clock) {}

    /** Number of entries. */
    public get size(): number {
        return this.entries.length;
    }

    /**
     * Chooses an entry.
     *
     * @param preferred - the entry to take unless it failed lately
     * @returns a base address
     */
    public choose(preferred?: string): string {
        if (preferred !== undefined && !this.isAvoided(preferred)) {
            return preferred;
        }
        for (let step = 0; step < this.entries.length; step += 1) {
            const entry = this.take();
            if (!this.isAvoided(entry)) {
                return entry;
            }
        }
        return this.take();
    }

    /**
     * Notes that an entry gave no answer.
     *
     * @param entry - its base address
     */
    public recordFailure(entry: string): void {
        this.avoidedUntil.set(entry, this.clock.nowMilliseconds() + avoidanceMilliseconds);
    }

    /**
     * Notes that an entry answered.
     *
     * @param entry - its base address
     */
    public recordSuccess(entry: string): void {
        this.avoidedUntil.delete(entry);
    }

    private take(): string {
        const entry = this.entries[this.position % this.entries.length] as string;
        this.position += 1;
        return entry;
    }

    private isAvoided(entry: string): boolean {
        return (this.avoidedUntil.get(entry) ?? 0) > this.clock.nowMilliseconds();
    }
}
