/**
 * Load pattern: a task crashes each worker that starts it, so one job would take down one worker after the other. A job
 * that was on a crashed worker is first tried alone on a worker; a task under which two workers have crashed, on one of them
 * without runs of other jobs, is the cause.
 */
import type { CrashedRun, WorkerCrash } from "../model/workerCrash.js";

/** What the observed crashes say of a job. */
export type JobVerdict =
    /** Nothing, or only crashes with another known or more likely cause. */
    | "clear"
    /** It may have crashed a worker; it runs without other jobs beside it. */
    | "suspected"
    /** A worker crashed that ran no other job; it runs without jobs of which that is not known. */
    | "isolated"
    /** One of its tasks crashes workers; it is given up. */
    | "crashing";

/** Number of crashed workers after which a task is given up if it had run for about the same time on each. */
const crashesUntilGivenUp = 2;

/** Number of crashed workers after which a task is given up however long it had run. */
const crashesAtAnyAge = 3;

/** Difference of its ages up to which a task had run for about the same time, in milliseconds. */
const similarAgeMilliseconds = 50;

/**
 * Age of a run below which it is a likely cause of a crash, in milliseconds. A task that crashes its worker mostly does so
 * soon after its start; one that does so later is found when a second worker crashes under it.
 */
const likelyCauseMilliseconds = 50;

/**
 * Workers that crash within this time of each other have a common cause, in milliseconds: a job that ran on all of them, or
 * one outside their tasks, such as a rack without power.
 */
export const coincidenceMilliseconds = 30;

/** Time for which a crash is evidence, in milliseconds. */
const evidenceMilliseconds = 60_000;

/** Time for which a job is known as crashing after it was last asked for, in milliseconds. */
const crashingMemoryMilliseconds = 600_000;

/** Largest number of jobs that are known as crashing. */
const maximumCrashingJobs = 2000;

/** A crash that is taken into account. */
interface ConsideredCrash {
    readonly crash: WorkerCrash;
    readonly crashedAt: number;
    /** False while the worker only refuses calls; its runs may go on, so no job fails for that. */
    isCertain: boolean;
    /** True when all runs on the worker were of one job. */
    readonly wasIsolated: boolean;
    /** Jobs that are likely causes. */
    likelyJobs: ReadonlySet<string>;
    /** True when a task that is known to crash workers ran on the worker. */
    isExplained: boolean;
}

/** A task that crashes workers. */
export interface CrashingTask {
    readonly job: string;
    readonly task: number;
    readonly route: string;
    readonly service: string;
    /** Instances whose workers crashed under it. */
    readonly instances: readonly string[];
}

/** Kinds of jobs that a crash may be put down to, and their jobs that may have caused it. */
export interface CrashCauses {
    /** Id of the crash. */
    readonly crash: string;
    readonly service: string;
    /** Ids of the jobs by route. */
    readonly jobsByRoute: ReadonlyMap<string, ReadonlySet<string>>;
}

/** Evidence from the crashes of workers about the jobs that ran there. */
export class CrashEvidence {
    private readonly crashes = new Map<string, ConsideredCrash>();
    /** Crashes by the id of each job that was on the worker. */
    private readonly crashesByJob = new Map<string, ConsideredCrash[]>();
    /** Route of each crashing job, and when it was last asked for. */
    private readonly crashingJobs = new Map<string, { readonly route: string; readonly askedAt: number }>();

    /** Number of jobs that are known to crash workers. */
    public get crashingJobCount(): number {
        return this.crashingJobs.size;
    }

    /**
     * Takes a crash into account, or what has become known of it since.
     *
     * @param crash - the crash
     * @param now - current monotonic time, in milliseconds
     * @returns tasks that are known to crash workers from now on
     */
    public record(crash: WorkerCrash, now: number): readonly CrashingTask[] {
        this.removeOld(now);
        const known = this.crashes.get(crash.id);
        if (known !== undefined) {
            return this.update(known, crash, now);
        }
        if (crash.runs.length === 0 || crash.certainty === "refuted") {
            return [];
        }
        const considered: ConsideredCrash = {
            crash,
            crashedAt: now - crash.ageMilliseconds,
            isCertain: crash.certainty === undefined,
            wasIsolated: crash.runs.every(run => run.job === crash.runs[0]?.job),
            likelyJobs: new Set(crash.runs.filter(isLikelyCause).map(run => run.job)),
            isExplained: crash.runs.some(run => this.crashingJobs.has(run.job)),
        };
        this.compareWithSimultaneous(considered);
        this.crashes.set(crash.id, considered);
        for (const job of new Set(crash.runs.map(run => run.job))) {
            this.crashesByJob.set(job, [...this.crashesByJob.get(job) ?? [], considered]);
        }
        return this.findCrashingTasks(considered, now);
    }

    private update(known: ConsideredCrash, crash: WorkerCrash, now: number): readonly CrashingTask[] {
        if (crash.certainty === "refuted") {
            this.forget(known.crash);
            return [];
        }
        if (known.isCertain || crash.certainty === "suspected") {
            return [];
        }
        known.isCertain = true;
        known.isExplained ||= crash.runs.some(run => this.crashingJobs.has(run.job));
        return this.findCrashingTasks(known, now);
    }

    /**
     * Tells what the crashes say of a job.
     *
     * @param job - id of the job
     * @param route - route of the job; a job of another route under the same id is another job
     * @param now - current monotonic time, in milliseconds
     * @param isCrashingKind - tells whether jobs of a route crash workers again and again; a crash beside such jobs says
     *   nothing of the others
     * @returns the verdict
     */
    public judge(job: string, route: string, now: number, isCrashingKind: (route: string) => boolean): JobVerdict {
        const crashing = this.crashingJobs.get(job);
        if (crashing !== undefined && isSameRoute(crashing.route, route)) {
            this.crashingJobs.set(job, { ...crashing, askedAt: now });
            return "crashing";
        }
        const crashes = this.crashesByJob.get(job)?.filter(({ crash, isExplained }) => {
            return !isExplained && crash.runs.some(run => run.job === job && isSameRoute(run.route, route));
        }) ?? [];
        if (crashes.some(({ wasIsolated }) => wasIsolated)) {
            return "isolated";
        }
        const unexplained = isCrashingKind(route)
            ? crashes
            : crashes.filter(({ crash, likelyJobs }) => {
                return !crash.runs.some(run => likelyJobs.has(run.job) && isCrashingKind(run.route));
            });
        const isLikely = unexplained.some(({ likelyJobs }) => likelyJobs.has(job));
        return isLikely || hasRepeatedTask(job, unexplained) ? "suspected" : "clear";
    }

    /**
     * Tells whether a worker has crashed while it ran the job, whatever the cause.
     *
     * @param job - id of the job
     * @returns true when a run of the job was lost in a crash
     */
    public hasLostRun(job: string): boolean {
        return this.crashesByJob.has(job);
    }

    /**
     * Finds the kinds of jobs that may have caused a crash.
     *
     * @param crash - a crash that was recorded
     * @returns the kind of the task that is known to crash workers, or else those of all likely causes
     */
    public findCauses(crash: WorkerCrash): CrashCauses {
        const known = crash.runs.filter(run => this.crashingJobs.has(run.job));
        const { wasIsolated = false, likelyJobs } = this.crashes.get(crash.id) ?? {};
        const likely = wasIsolated ? crash.runs : crash.runs.filter(run => likelyJobs?.has(run.job));
        const causes = known.length > 0 ? known : likely;
        const jobsByRoute = new Map<string, Set<string>>();
        for (const { job, route } of causes) {
            jobsByRoute.set(route, (jobsByRoute.get(route) ?? new Set()).add(job));
        }
        return { crash: crash.id, service: crash.service, jobsByRoute };
    }

    /**
     * Tells whether the cause of a recent crash is not known yet.
     *
     * @param service - service of the worker
     * @param since - only crashes after this instant count, in milliseconds
     * @returns true when jobs may have to be tried alone
     */
    public hasOpenCrash(service: string, since: number): boolean {
        for (const { crash, crashedAt, isExplained, likelyJobs } of this.crashes.values()) {
            const isOpen = !isExplained && likelyJobs.size > 0;
            if (isOpen && crash.service === service && crashedAt >= since) {
                return true;
            }
        }
        return false;
    }

    /**
     * Lists the instances whose workers have crashed.
     *
     * @param service - service of the workers
     * @param since - only crashes after this instant count, in milliseconds
     * @returns names of the instances
     */
    public listCrashedInstances(service: string, since: number): ReadonlySet<string> {
        const instances = new Set<string>();
        for (const { crash, crashedAt } of this.crashes.values()) {
            if (crash.service === service && crashedAt >= since) {
                instances.add(crash.instance);
            }
        }
        return instances;
    }

    /** Leaves only jobs as likely causes that ran on all workers that crashed at the same time. */
    private compareWithSimultaneous(latest: ConsideredCrash): void {
        const group = [...this.crashes.values()].filter(other => {
            return Math.abs(other.crashedAt - latest.crashedAt) <= coincidenceMilliseconds;
        });
        const common = new Set([...latest.likelyJobs].filter(job => group.every(other => other.likelyJobs.has(job))));
        for (const crash of [latest, ...group]) {
            crash.likelyJobs = common;
        }
    }

    private findCrashingTasks(latest: ConsideredCrash, now: number): readonly CrashingTask[] {
        if (latest.isExplained || !latest.isCertain) {
            return [];
        }
        const found: CrashingTask[] = [];
        for (const run of latest.crash.runs) {
            const crashes = this.crashesByJob.get(run.job)?.filter(({ crash, isCertain, isExplained }) => {
                return isCertain && !isExplained
                    && crash.runs.some(other => isSameTask(other, run));
            }) ?? [];
            if (crashes.some(({ wasIsolated }) => wasIsolated) && areEnough(crashes, run)) {
                found.push({
                    job: run.job,
                    task: run.task,
                    route: run.route,
                    service: latest.crash.service,
                    instances: crashes.map(({ crash }) => crash.instance),
                });
            }
        }
        for (const { job, route } of found) {
            this.crashingJobs.set(job, { route, askedAt: now });
            this.crashesByJob.get(job)?.forEach(considered => {
                considered.isExplained = true;
            });
        }
        return found;
    }

    private forget({ id, runs }: WorkerCrash): void {
        this.crashes.delete(id);
        for (const { job } of runs) {
            const rest = this.crashesByJob.get(job)?.filter(other => other.crash.id !== id) ?? [];
            if (rest.length > 0) {
                this.crashesByJob.set(job, rest);
            }
            else {
                this.crashesByJob.delete(job);
            }
        }
    }

    private removeOld(now: number): void {
        for (const { crash, crashedAt } of this.crashes.values()) {
            if (now - crashedAt <= evidenceMilliseconds) {
                break;
            }
            this.forget(crash);
        }
        for (const [job, { askedAt }] of this.crashingJobs) {
            if (now - askedAt > crashingMemoryMilliseconds || this.crashingJobs.size > maximumCrashingJobs) {
                this.crashingJobs.delete(job);
            }
        }
    }
}

function isSameTask(left: CrashedRun, right: CrashedRun): boolean {
    return left.job === right.job && left.task === right.task && isSameRoute(left.route, right.route);
}

/** Tells whether two routes are the same; orders of entries of an earlier version have none. */
function isSameRoute(left: string, right: string): boolean {
    return left === right || left === "" || right === "";
}

/** Tells whether the crashes of the workers on which a task was are enough to give it up. */
function areEnough(crashes: readonly ConsideredCrash[], latest: CrashedRun): boolean {
    const ages = crashes.flatMap(({ crash }) => crash.runs)
        .filter(run => isSameTask(run, latest))
        .map(run => run.ageMilliseconds)
        .sort((left, right) => left - right);
    const areSimilar = ages.some((age, index) => {
        const other = ages[index + crashesUntilGivenUp - 1];
        return other !== undefined && other - age <= similarAgeMilliseconds;
    });
    return areSimilar || ages.length >= crashesAtAnyAge;
}

/** Tells whether the same task of a job was on enough crashed workers to be given up if it is the cause. */
function hasRepeatedTask(job: string, crashes: readonly ConsideredCrash[]): boolean {
    const counts = new Map<number, number>();
    for (const { crash } of crashes.length < crashesUntilGivenUp ? [] : crashes) {
        for (const run of crash.runs) {
            if (run.job === job) {
                counts.set(run.task, (counts.get(run.task) ?? 0) + 1);
            }
        }
    }
    return [...counts.values()].some(count => count >= crashesUntilGivenUp);
}

function isLikelyCause(run: CrashedRun): boolean {
    return run.ageMilliseconds <= likelyCauseMilliseconds;
}
