/**
 * Separation of jobs that may crash their workers from the others, for one round of placement.
 */
import type { DirectJob } from "../model/directJob.js";
import type { Isolation } from "../model/frames.js";
import { fitsInto } from "../model/resources.js";
import type { JobVerdict } from "../policies/crashEvidence.js";
import { chooseQuarantine } from "../policies/quarantine.js";
import { canReceiveTasks } from "./agentFrames.js";
import type { AgentRow, EntryState } from "./entryState.js";

/** Time after a crash of unknown cause for which a worker is kept for trials of single jobs, in milliseconds. */
const trialMilliseconds = 2000;

/** Time for which a worker that has crashed is preferred for jobs that may crash it, in milliseconds. */
const recentCrashMilliseconds = 10_000;

/** Where the tasks of a job may run, and beside what. */
export interface SeparationPlan {
    /** Undefined when the job may share workers with all others. */
    readonly isolation: Isolation | undefined;
    /** Instances whose workers may run the job; undefined for all. */
    readonly permitted: ReadonlySet<string> | undefined;
    /** Instances whose workers the job uses only when no other has room. */
    readonly avoided: ReadonlySet<string>;
    /** Processor capacity that may be in use on a worker of the job, in thousandths of a core; infinite for all of it. */
    readonly maximumUsedMilliCores: number;
}

const noInstances: ReadonlySet<string> = new Set();

const openPlan: SeparationPlan = {
    isolation: undefined,
    permitted: undefined,
    avoided: noInstances,
    maximumUsedMilliCores: Number.POSITIVE_INFINITY,
};

/** Workers of one service that are kept for jobs that may crash them. */
interface Quarantine {
    /** Names of instances; empty when the service has too few workers. */
    readonly instances: ReadonlySet<string>;
    /** The one that accepts tasks and is preferred for jobs that run alone. */
    readonly trial: ReadonlySet<string>;
    /** Number of the kept workers that accept tasks. */
    readonly acceptingCount: number;
    /** Those that other jobs leave free. */
    readonly reserved: ReadonlySet<string>;
    readonly hasConfinedKinds: boolean;
}

/** Decides which jobs may share workers. */
export class WorkerSeparation {
    private readonly quarantines = new Map<string, Quarantine>();
    /** Number of jobs that wait in this round, by route, of confined kinds only. */
    private readonly waitingConfinedJobs = new Map<string, number>();

    /**
     * @param state - state of the entry
     */
    public constructor(private readonly state: EntryState) {}

    /**
     * Finds out where a job may run.
     *
     * @param job - job to be placed
     * @returns the plan for its tasks
     */
    public plan(job: DirectJob): SeparationPlan {
        const { state } = this;
        if (state.crashRecords.revision === 0) {
            return openPlan;
        }
        const verdict = judgeJob(state, job);
        const parallelJobs = state.crashingKinds.countParallelJobs(job.service, job.route);
        if (verdict === "clear" && parallelJobs === 0 && !this.mayKeepWorkers(job.service)) {
            return openPlan;
        }
        const quarantine = this.getQuarantine(job.service);
        if (verdict === "isolated") {
            return { ...openPlan, isolation: "shared", permitted: this.restrict(job, quarantine.trial) };
        }
        const kept = quarantine.hasConfinedKinds ? quarantine.instances : quarantine.trial;
        if (verdict === "suspected" || parallelJobs === 1) {
            return { ...openPlan, isolation: "job", permitted: this.restrict(job, kept) };
        }
        if (parallelJobs > 1) {
            const maximumUsedMilliCores = parallelJobs * job.taskCount * job.needs.milliCores;
            return { ...openPlan, permitted: this.restrict(job, kept), maximumUsedMilliCores };
        }
        return { ...openPlan, avoided: quarantine.reserved };
    }

    /** Tells whether workers of a service may be kept for jobs that may crash them. */
    private mayKeepWorkers(service: string): boolean {
        const { crashEvidence, crashingKinds, now } = this.state;
        return crashingKinds.hasConfined(service) || crashEvidence.hasOpenCrash(service, now - trialMilliseconds);
    }

    /** Restricts a job to some instances, unless their workers lack a label or the capacity that it needs. */
    private restrict(job: DirectJob, instances: ReadonlySet<string>): ReadonlySet<string> | undefined {
        if (this.getQuarantine(job.service).instances.size === 0) {
            return undefined;
        }
        const rows = [...this.state.agents.values()].filter(({ worker }) => worker?.service === job.service);
        const kept = rows.filter(({ instance }) => instances.has(instance));
        const isDown = kept.length === 0 && job.requiredLabel === undefined && job.needs.accelerators === 0;
        const isSuitable = ({ worker }: AgentRow): boolean =>
            worker !== undefined && fitsInto(job.needs, worker.capacity)
            && (job.requiredLabel === undefined || worker.labels.includes(job.requiredLabel));
        return isDown || kept.some(isSuitable) || !rows.some(isSuitable) ? instances : undefined;
    }

    /**
     * Tells whether a job of a confined kind can't be served in time: none of the few workers for its kind accepts tasks, or
     * the jobs of its kind that wait before it take them for longer than it can wait.
     *
     * @param job - job that has not started
     * @param longestTaskMilliseconds - expected run time of its longest task, in milliseconds
     * @param spareMilliseconds - time left until its latest start, in milliseconds
     * @returns true when it is to be refused
     */
    public isShutOut(job: DirectJob, longestTaskMilliseconds: number, spareMilliseconds: number): boolean {
        const parallelJobs = this.state.crashingKinds.countParallelJobs(job.service, job.route);
        if (parallelJobs === 0 || this.plan(job).permitted === undefined) {
            return false;
        }
        const { acceptingCount } = this.getQuarantine(job.service);
        const jobsAhead = this.waitingConfinedJobs.get(job.route) ?? 0;
        const waitMilliseconds = jobsAhead * longestTaskMilliseconds / Math.max(1, acceptingCount * parallelJobs);
        return acceptingCount === 0 || waitMilliseconds > spareMilliseconds;
    }

    /**
     * Counts a job that this round could not place, for the jobs of its kind that follow it.
     *
     * @param job - job with tasks that still wait
     */
    public recordWaiting(job: DirectJob): void {
        if (this.state.crashingKinds.isConfined(job.service, job.route)) {
            this.waitingConfinedJobs.set(job.route, (this.waitingConfinedJobs.get(job.route) ?? 0) + 1);
        }
    }

    private getQuarantine(service: string): Quarantine {
        const known = this.quarantines.get(service);
        if (known !== undefined) {
            return known;
        }
        const quarantine = this.createQuarantine(service);
        this.quarantines.set(service, quarantine);
        return quarantine;
    }

    private createQuarantine(service: string): Quarantine {
        const { crashEvidence, crashingKinds, now } = this.state;
        const crashed = crashEvidence.listCrashedInstances(service, now - recentCrashMilliseconds);
        const accepting = new Set<string>();
        const instances = new Set(crashed);
        for (const row of this.state.agents.values()) {
            if (row.worker?.service === service) {
                instances.add(row.instance);
                if (canReceiveTasks(this.state, row)) {
                    accepting.add(row.instance);
                }
            }
        }
        const candidates = [...instances].map(instance => ({ instance, hasCrashed: crashed.has(instance) }));
        const chosen = chooseQuarantine(service, candidates);
        const hasConfinedKinds = crashingKinds.hasConfined(service);
        // While a kind is confined, jobs that may crash their workers wait for the few that are kept for them.
        const trialCandidates = hasConfinedKinds ? chosen.instances : [...chosen.instances, ...chosen.others];
        const first = trialCandidates.find(instance => accepting.has(instance));
        const trial = first === undefined ? noInstances : new Set([first]);
        const needsTrial = crashEvidence.hasOpenCrash(service, now - trialMilliseconds);
        const all = new Set(chosen.instances);
        return {
            instances: all,
            trial,
            acceptingCount: chosen.instances.filter(instance => accepting.has(instance)).length,
            reserved: hasConfinedKinds ? all : needsTrial ? trial : noInstances,
            hasConfinedKinds,
        };
    }
}

/**
 * Tells what is known of a job from crashes of workers.
 *
 * @param state - state of the entry
 * @param job - the job
 * @returns the verdict
 */
export function judgeJob(state: EntryState, job: DirectJob): JobVerdict {
    return state.crashEvidence.judge(job.id, job.route, state.now, route => {
        return state.crashingKinds.isConfined(job.service, route);
    });
}

/**
 * Tells whether a worker has no run and expects none, so that a job can run alone there.
 *
 * @param row - row of the agent
 * @returns true when all its resources are free
 */
export function isIdle({ worker, unacknowledgedStarts, openRunCount }: AgentRow): boolean {
    return worker !== undefined && openRunCount === 0 && unacknowledgedStarts.length === 0
        && worker.awaited.milliCores === 0 && worker.free.milliCores >= worker.capacity.milliCores;
}
