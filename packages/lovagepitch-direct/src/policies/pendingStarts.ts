/**
 * Load pattern: a job of hundreds of tasks reaches a worker at once, and jobs of a few tasks come beside it. The worker is sent a
 * bounded number of orders at a time; the job of which the fewest were sent goes next, so that a small job does not wait for
 * all tasks of a large one.
 */

/** A start order that has not been sent yet. */
export interface PendingStart {
    readonly key: string;
    readonly job: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** The order is returned if it has not been sent by this instant, in monotonic milliseconds. */
    readonly expiresAt: number;
}

/** Pending starts of one job. */
interface JobGroup {
    readonly priority: number;
    readonly keys: Set<string>;
    sent: number;
}

/** Pending starts, in the order in which they are sent. */
export class PendingStarts {
    private readonly starts = new Map<string, PendingStart>();
    private readonly groups = new Map<string, JobGroup>();

    /** Number of pending starts. */
    public get size(): number {
        return this.starts.size;
    }

    /**
     * Adds a start.
     *
     * @param start - the start; its key must not be pending yet
     */
    public add(start: PendingStart): void {
        this.starts.set(start.key, start);
        const group = this.groups.get(start.job) ?? { priority: start.priority, keys: new Set(), sent: 0 };
        group.keys.add(start.key);
        this.groups.set(start.job, group);
    }

    /**
     * Removes a start that is not to be sent any more.
     *
     * @param key - key of the start; one that is not pending has no effect
     */
    public remove(key: string): void {
        const start = this.starts.get(key);
        if (start === undefined) {
            return;
        }
        this.starts.delete(key);
        const group = this.groups.get(start.job);
        group?.keys.delete(key);
        if (group?.keys.size === 0) {
            this.groups.delete(start.job);
        }
    }

    /**
     * Removes the start that is to be sent next.
     *
     * @returns its key, or undefined when none is pending
     */
    public takeNext(): string | undefined {
        let next: JobGroup | undefined;
        for (const group of this.groups.values()) {
            if (next === undefined || compareGroups(group, next) < 0) {
                next = group;
            }
        }
        const [key] = next?.keys ?? [];
        if (next !== undefined && key !== undefined) {
            next.sent += 1;
            this.remove(key);
        }
        return key;
    }

    /**
     * Lists the starts that have not been sent in time.
     *
     * @param now - current monotonic time, in milliseconds
     * @returns their keys
     */
    public listExpired(now: number): readonly string[] {
        return [...this.starts.values()].flatMap(({ key, expiresAt }) => now >= expiresAt ? [key] : []);
    }

    /**
     * Lists all starts.
     *
     * @returns their keys
     */
    public listAll(): readonly string[] {
        return [...this.starts.keys()];
    }
}

function compareGroups(left: JobGroup, right: JobGroup): number {
    return left.priority - right.priority || left.sent - right.sent;
}
