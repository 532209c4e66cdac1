/**
 * Selects the entry for each request.
 */
import type { Clock } from "@lovagepitch/utils/clock";

/** Time for which an entry is deprioritised after a failed request. */
const avoidanceMilliseconds = 2000;

/** Selects entries round-robin; entries that failed recently are used only when all of them did. */
export class EntrySelector {
    private readonly avoidedUntil = new Map<string, number>();
    private nextPosition = 0;

    /**
     * @param entries - base addresses of the entries, at least one
     * @param clock - clock for the time since the last failure
     */
    public constructor(private readonly entries: readonly string[], private readonly clock: Clock) {}

    /** Number of configured entries. */
    public get size(): number {
        return this.entries.length;
    }

    /**
     * Selects the entry for the next request.
     *
     * @param preferred - entry to use unless it failed recently
     * @returns the base address of the entry
     */
    public choose(preferred?: string): string {
        if (preferred !== undefined && !this.isAvoided(preferred)) {
            return preferred;
        }
        for (let step = 0; step < this.entries.length; step += 1) {
            const entry = this.takeNextInRotation();
            if (!this.isAvoided(entry)) {
                return entry;
            }
        }
        return this.takeNextInRotation();
    }

    /**
     * Records a failed request, after which the entry is deprioritised for a time.
     *
     * @param entry - base address of the entry
     */
    public recordFailure(entry: string): void {
        this.avoidedUntil.set(entry, this.clock.nowMilliseconds() + avoidanceMilliseconds);
    }

    /**
     * Records a response, after which the entry is selected normally again.
     *
     * @param entry - base address of the entry
     */
    public recordSuccess(entry: string): void {
        this.avoidedUntil.delete(entry);
    }

    private takeNextInRotation(): string {
        const entry = this.entries[this.nextPosition % this.entries.length] as string;
        this.nextPosition += 1;
        return entry;
    }

    private isAvoided(entry: string): boolean {
        return (this.avoidedUntil.get(entry) ?? 0) > this.clock.nowMilliseconds();
    }
}
