/**
 * Load pattern: workers of several kinds run the same tasks at different speeds. An entry compares the figures of all
 * its agents: the label that a worker shares with the most others, but not with all, names its kind, and a kind's
 * figure holds for its workers, also for a new one. Labels of small groups, such as racks, would give figures of a few workers. Callers' estimates may be too high or too low throughout, so speed 1 is that of the average worker.
 */

/** A speed beyond these limits counts as the limit. */
const speedLimits = { lowest: 0.4, highest: 2.5 } as const;

/** A worker's own figure replaces its kind's when they differ by at least this factor; less is noise of the estimates. */
const ownFigureFactor = 1.4;

/** Speeds of kinds count as equal when they differ by less than this factor. */
const equalityFactor = 1.15;

/** Part of the workers that must carry a label for it to name a kind; less are a rack, whose figure is mostly noise. */
const minimumKindShare = 0.3;

/** Time after which changed figures take effect, in milliseconds; a small part of the time in which they are learned. */
const refreshIntervalMilliseconds = 250;

/** What an entry knows of a worker's speed. */
export interface SpeedReport {
    readonly agent: string;
    readonly labels: readonly string[];
    /** Estimated run time divided by actual run time according to its agent; undefined while unknown. */
    readonly speed: number | undefined;
}

/** A change of what the entry knows, for the log. */
export interface SpeedChange {
    readonly kind: string;
    /** Speed of the kind; 1 for the average worker. */
    readonly speed: number;
}

/** Speeds of all workers that an entry knows. */
export class WorkerSpeeds {
    private speeds: ReadonlyMap<string, number> = new Map();
    private kinds: ReadonlyMap<string, number> = new Map();
    private refreshedAt = Number.NEGATIVE_INFINITY;

    /**
     * Returns the speed of a worker.
     *
     * @param agent - incarnation of its agent
     * @returns 1 for the average worker, and while speeds are unknown or equal
     */
    public get(agent: string): number {
        return this.speeds.get(agent) ?? 1;
    }

    /**
     * Computes the speeds again when they are due.
     *
     * @param reports - reports of all workers
     * @param now - current monotonic time, in milliseconds
     * @returns kinds whose speed has changed by more than a factor that counts as equal
     */
    public refresh(reports: () => Iterable<SpeedReport>, now: number): readonly SpeedChange[] {
        if (now - this.refreshedAt < refreshIntervalMilliseconds) {
            return [];
        }
        this.refreshedAt = now;
        const listed = [...reports()];
        const workersByLabel = countLabels(listed);
        const byKind = new Map<string, SpeedReport[]>();
        for (const report of listed) {
            const kind = findKind(report.labels, workersByLabel, listed.length);
            const ofKind = byKind.get(kind);
            if (ofKind === undefined) {
                byKind.set(kind, [report]);
            }
            else {
                ofKind.push(report);
            }
        }
        return this.compute(byKind);
    }

    private compute(byKind: ReadonlyMap<string, readonly SpeedReport[]>): readonly SpeedChange[] {
        const figures = new Map<string, number>();
        const kindFigures = new Map<string, number>();
        for (const [kind, reports] of byKind) {
            const known = reports.flatMap(({ speed }) => isUsable(speed) ? [speed] : []);
            const kindFigure = findMedian(known);
            if (kindFigure === undefined) {
                continue;
            }
            kindFigures.set(kind, kindFigure);
            for (const { agent, speed } of reports) {
                figures.set(agent, isUsable(speed) && isApart(speed, kindFigure, ownFigureFactor) ? speed : kindFigure);
            }
        }
        const values = [...figures.values()];
        const lowest = values.reduce((least, figure) => Math.min(least, figure), Infinity);
        const highest = values.reduce((most, figure) => Math.max(most, figure), -Infinity);
        const average = [...kindFigures].reduce((sum, [kind, figure]) => {
            return sum + figure * (byKind.get(kind)?.length ?? 0);
        }, 0) / Math.max(1, figures.size);
        const hasDifferences = figures.size > 1 && isApart(lowest, highest, equalityFactor);
        const normalize = (figure: number): number => {
            return Math.min(speedLimits.highest, Math.max(speedLimits.lowest, figure / average));
        };
        this.speeds = hasDifferences
            ? new Map([...figures].map(([agent, figure]) => [agent, normalize(figure)]))
            : new Map();
        return this.replaceKinds(
            new Map([...kindFigures].map(([kind, figure]) => [kind, hasDifferences ? normalize(figure) : 1])),
        );
    }

    private replaceKinds(kinds: ReadonlyMap<string, number>): readonly SpeedChange[] {
        const changes = [...kinds].flatMap(([kind, speed]) => {
            const previous = this.kinds.get(kind) ?? 1;
            return isApart(speed, previous, equalityFactor) ? [{ kind, speed: Math.round(speed * 100) / 100 }] : [];
        });
        // A kind keeps its earlier figure until it differs enough, so that slow drifts are logged as well.
        this.kinds = new Map([...kinds].map(([kind, speed]) => {
            const previous = this.kinds.get(kind) ?? 1;
            return [kind, isApart(speed, previous, equalityFactor) ? speed : previous];
        }));
        return changes;
    }
}

function countLabels(reports: readonly SpeedReport[]): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { labels } of reports) {
        for (const label of new Set(labels)) {
            counts.set(label, (counts.get(label) ?? 0) + 1);
        }
    }
    return counts;
}

/** Finds the label that the most workers carry, but not all; empty when no label is that of many workers. */
function findKind(labels: readonly string[], workersByLabel: ReadonlyMap<string, number>, workers: number): string {
    let kind = "";
    let most = minimumKindShare * workers;
    for (const label of labels) {
        const count = workersByLabel.get(label) ?? 0;
        if (count < workers && (count > most || (count === most && label < kind))) {
            kind = label;
            most = count;
        }
    }
    return kind;
}

function isUsable(speed: number | undefined): speed is number {
    return speed !== undefined && Number.isFinite(speed) && speed > 0;
}

function isApart(left: number, right: number, factor: number): boolean {
    return left * factor <= right || right * factor <= left;
}

function findMedian(figures: readonly number[]): number | undefined {
    return [...figures].sort((left, right) => left - right)[Math.floor(figures.length / 2)];
}
