/**
 * Recent crashes that a process knows. Agents and entries pass each of them on once over each connection, so that what is
 * known of a job outlives the entry that held it, and the agent of the crashed worker.
 */
import type { WorkerCrash } from "../model/workerCrash.js";

/** Time for which a crash is passed on, in milliseconds; a caller that sends its job again does so within seconds. */
const retentionMilliseconds = 30_000;

/** Largest number of crashes that are passed on; bounds the first frame of a connection to some 20 kB. */
const maximumRecords = 48;

/** A crash, when it happened and when this process learned of it. */
interface KnownCrash {
    readonly crash: WorkerCrash;
    /** Monotonic time of the crash, in milliseconds. */
    readonly crashedAt: number;
    /** Position in the order in which this process learned of crashes. */
    readonly revision: number;
}

/** Crashes in the order in which the process learned of them. */
export class CrashRecords {
    private readonly known = new Map<string, KnownCrash>();
    private latestRevision = 0;

    /** Increases with each new crash. */
    public get revision(): number {
        return this.latestRevision;
    }

    /**
     * Tells whether a crash is known, however certain it is.
     *
     * @param id - id of the crash
     * @returns true when it was added
     */
    public has(id: string): boolean {
        return this.known.has(id);
    }

    /**
     * Adds a crash, or what has become known of it since.
     *
     * @param crash - the crash
     * @param now - current monotonic time, in milliseconds
     * @returns false when nothing of it is new, or it is too old
     */
    public add(crash: WorkerCrash, now: number): boolean {
        const known = this.known.get(crash.id);
        const isNew = known === undefined || getCertaintyRank(crash) > getCertaintyRank(known.crash);
        if (!isNew || crash.ageMilliseconds > retentionMilliseconds) {
            return false;
        }
        this.latestRevision += 1;
        this.known.delete(crash.id);
        this.known.set(crash.id, { crash, crashedAt: now - crash.ageMilliseconds, revision: this.latestRevision });
        this.removeOld(now);
        return true;
    }

    /**
     * Lists the crashes that a peer has not been sent.
     *
     * @param revision - value of `revision` when the peer was last sent crashes; 0 for a new connection
     * @param now - current monotonic time, in milliseconds
     * @returns crashes with their present age
     */
    public listAfter(revision: number, now: number): readonly WorkerCrash[] {
        if (revision >= this.latestRevision) {
            return [];
        }
        this.removeOld(now);
        return [...this.known.values()]
            .filter(known => known.revision > revision)
            .map(({ crash, crashedAt }) => ({ ...crash, ageMilliseconds: Math.round(now - crashedAt) }));
    }

    private removeOld(now: number): void {
        for (const [id, { crashedAt }] of this.known) {
            if (now - crashedAt > retentionMilliseconds || this.known.size > maximumRecords) {
                this.known.delete(id);
            }
        }
    }
}

/** Returns a rank that increases as more becomes known of a crash. */
function getCertaintyRank({ certainty }: WorkerCrash): number {
    return certainty === "suspected" ? 0 : certainty === undefined ? 1 : 2;
}
