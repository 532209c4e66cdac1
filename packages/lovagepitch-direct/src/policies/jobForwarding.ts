/**
 * Load pattern: the platform sends callers to the entries of their own zone, and some entries have less processor time than their callers
 * need while others have time to spare. An entry that is short of time passes a part of its new jobs on.
 */
/** Decides which part of the new jobs is passed on, and whether jobs of other entries are taken. */
export abstract class JobForwarding {
    /** True while the entry needs connections to entries that it could pass jobs on to. */
    public abstract readonly needsConnections: boolean;

    /** True while the entry has less processor time than it needs. */
    public abstract readonly isShort: boolean;

    /** Part of the new jobs that is passed on where another entry has time to spare, from 0 to 1. */
    public abstract readonly share: number;

    /** True while the entry takes jobs that others pass on. */
    public abstract readonly acceptsJobs: boolean;

    /**
     * Records the load of the entry in one window.
     *
     * @param load - share of the window for which the process had work
     */
    public abstract recordLoad(load: number): void;

    /**
     * Weighs an entry that jobs may be passed on to.
     *
     * @param otherLoad - its load
     * @returns weight in the random choice between such entries; 0 if it is to get no jobs
     */
    public abstract weigh(otherLoad: number): number;
}

/** Load above which jobs are passed on; each costs messages at both ends, so an entry keeps what it can do in time. */
const targetLoad = 0.8;

/** Load from which an entry prepares to pass jobs on. */
const connectionLoad = 0.7;

/** Load from which an entry takes no jobs of others. */
const acceptanceLoad = 0.8;

/** Least difference to the load of the other entry; below it, passing a job on costs more than it brings. */
const leastDifference = 0.1;

/** Change of the share in one window for each unit of load above the target. */
const gain = 0.5;

/** Load from which the demand may be several times of what the process can do, as the load cannot show more than 1. */
const saturatedLoad = 0.95;

/** Change of the share in one window at a saturated process. */
const saturatedStep = 0.25;

/** Passes jobs on by the load of the processes. */
export class LoadForwarding extends JobForwarding {
    private load = 0;
    private currentShare = 0;

    /** {@inheritDoc JobForwarding.needsConnections} */
    public override get needsConnections(): boolean {
        return this.load >= connectionLoad || this.currentShare > 0;
    }

    /** {@inheritDoc JobForwarding.isShort} */
    public override get isShort(): boolean {
        return this.load >= targetLoad;
    }

    /** {@inheritDoc JobForwarding.share} */
    public override get share(): number {
        return this.currentShare;
    }

    /** {@inheritDoc JobForwarding.acceptsJobs} */
    public override get acceptsJobs(): boolean {
        return this.load < acceptanceLoad;
    }

    /** {@inheritDoc JobForwarding.recordLoad} */
    public override recordLoad(load: number): void {
        this.load = load;
        const step = load >= saturatedLoad ? saturatedStep : gain * (load - targetLoad);
        this.currentShare = Math.min(1, Math.max(0, this.currentShare + step));
    }

    /** {@inheritDoc JobForwarding.weigh} */
    public override weigh(otherLoad: number): number {
        return otherLoad <= this.load - leastDifference ? Math.max(0, acceptanceLoad - otherLoad) : 0;
    }
}
