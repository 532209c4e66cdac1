/**
 * Load generator with a job mix like that of the users' two sites: three kinds of jobs of equal total value; the urgent
 * ones are short and have many tasks.
 */
import type { EntryPolicies } from "@lovagepitch/direct/policies/entryPolicies";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import { DirectDeployment } from "./directDeployment.js";
import type { WorkerKind } from "./directDeploymentOptions.js";
import { defaultJobKinds, type JobKind } from "./jobKinds.js";
import { type IdealJob, simulateIdealQueue } from "./simulateIdealQueue.js";

/**
 * Standard deviations of the underlying normal distributions, from the same files: of durations and task counts between
 * jobs, of durations within a job, of estimates and of cores.
 */
const logNormalDeviations = { betweenJobs: 0.4, withinJob: 0.15, estimate: 0.4, cores: 0.2 } as const;

const workerMilliCores = 16_000;
const defaultMeanMilliCores = 1600;
const maximumMilliCores = 2300;
const minimumTaskMilliseconds = 5;
const callerWaitMilliseconds = 20_000;

/** Time after the last arrival, in milliseconds, before the answers are counted; open jobs are awaited for longer. */
const drainMilliseconds = 4000;

/** Interval at which open jobs are awaited, in milliseconds. */
const awaitIntervalMilliseconds = 500;

/** A share of the tasks that takes several times as long as the others of its job. */
export interface LongTasks {
    readonly share: number;
    readonly factor: number;
}

/** Periodic change of the demand of each zone; the zones follow one another. */
export interface ZoneWaves {
    /** Largest deviation from the mean, as a part of it. */
    readonly swing: number;
    readonly periodMilliseconds: number;
}

/** A share of the jobs of one kind that have one task that crashes each worker that starts it. */
export interface CrashingJobs {
    readonly kind: string;
    readonly share: number;
    /** Time of arrival of the first and last of them, in milliseconds since the start of the load. */
    readonly fromMilliseconds: number;
    readonly untilMilliseconds: number;
    /** Run time of the task until the crash, in milliseconds. */
    readonly crashMilliseconds: number;
}

/** Size of the deployment and of the load. */
export interface MixedLoadOptions {
    readonly entries: number;
    readonly workers: number;
    /** Number of availability zones; 1 by default. */
    readonly zones?: number;
    /** Share of the jobs that arrive at the first entry, in addition to its even share; 0 by default. */
    readonly firstEntryShare?: number;
    /** Kinds of jobs; `defaultJobKinds` by default. */
    readonly jobKinds?: readonly JobKind[];
    /** Mean cores of a task, in thousandths; 1,600 by default. */
    readonly meanMilliCores?: number;
    /** Kinds of workers, among which the workers take turns; one kind of normal size and speed by default. */
    readonly workerKinds?: readonly WorkerKind[];
    /** Creates the policies of an entry; those without further settings by default. */
    readonly createPolicies?: () => EntryPolicies;
    readonly longTasks?: LongTasks;
    /** Waves of demand; even demand by default. */
    readonly zoneWaves?: ZoneWaves;
    /** Jobs with a task that crashes its workers; none by default. */
    readonly crashingJobs?: CrashingJobs;
    /** Kind whose rate is multiplied by `burstFactor` all the time; none by default. */
    readonly burstKind?: string;
    readonly burstFactor?: number;
    /** Factor by which the arrival rate of each kind is multiplied. */
    readonly rateFactor: number;
    readonly durationSeconds: number;
    readonly seed: number;
}

/** Numbers of jobs of one kind, by outcome. */
export interface KindResult {
    /** Submitted jobs. */
    readonly jobs: number;
    /** Jobs done within their objective. */
    readonly inTime: number;
    /** Jobs done after their objective. */
    readonly late: number;
    readonly refused: number;
    /** Share of the worth of all jobs of the kind that was earned, 0 to 1. */
    readonly worth: number;
}

type CountedOutcome = "inTime" | "late" | "refused";

interface SubmittedJob extends IdealJob {
    readonly kind: JobKind;
    readonly workCoreMilliseconds: number;
}

/** A submitted job and its outcome. */
export interface JobOutcome {
    readonly kind: string;
    /** Actual work of its tasks at normal speed, in core-milliseconds. */
    readonly workCoreMilliseconds: number;
    /** `lost` when it was not answered, or answered as interrupted. */
    readonly outcome: "in-time" | "late" | "refused" | "lost";
    /** Time from its arrival to its answer, in milliseconds; undefined without an answer. */
    readonly answeredAfterMilliseconds: number | undefined;
}

/** Part of a job's worth that does not depend on its work. */
const fixedWorth = 0.3;

/** Part of its worth that a late job earns. */
const lateWorth = 0.2;

/** Runs a mixed load on a simulated deployment. */
export class MixedLoad {
    /** Deployment that the load runs on. */
    public readonly deployment: DirectDeployment;
    private readonly random: RandomSource;
    private readonly jobKinds: readonly JobKind[];
    private readonly taskDurationsByJob = new Map<string, readonly number[]>();
    private readonly jobs = new Map<string, SubmittedJob>();
    /** Jobs with a task that crashes its workers. */
    public readonly crashingJobs = new Set<string>();

    /**
     * @param options - size of the deployment and of the load
     */
    public constructor(private readonly options: MixedLoadOptions) {
        this.random = new RandomSource(options.seed);
        this.jobKinds = options.jobKinds ?? defaultJobKinds;
        this.deployment = new DirectDeployment({
            entries: options.entries,
            workers: options.workers,
            zones: options.zones ?? 1,
            milliCores: workerMilliCores,
            ...options.workerKinds === undefined ? {} : { workerKinds: options.workerKinds },
            ...options.createPolicies === undefined ? {} : { createPolicies: options.createPolicies },
            seed: options.seed,
            getTaskDurationMilliseconds: run =>
                this.taskDurationsByJob.get(run.job)?.[run.task] ?? minimumTaskMilliseconds,
            getCrashMilliseconds: run => {
                const isCause = run.task === 0 && this.crashingJobs.has(run.job);
                return isCause ? options.crashingJobs?.crashMilliseconds : undefined;
            },
        });
    }

    /** Submits the jobs of the load, then advances the clock so that the open jobs can finish. */
    public run(): void {
        const { clock } = this.deployment;
        const jobsPerSecond = this.sumJobsPerSecond() * this.options.rateFactor;
        const startedAt = clock.nowMilliseconds();
        let nextArrival = startedAt;
        while (nextArrival < startedAt + this.options.durationSeconds * 1000) {
            nextArrival += -Math.log(1 - this.random.nextFraction()) * 1000 / jobsPerSecond;
            this.deployment.advance(Math.max(0, Math.floor(nextArrival) - clock.nowMilliseconds()));
            this.submit(this.drawJobKind(), clock.nowMilliseconds() - startedAt);
        }
        this.deployment.advance(drainMilliseconds);
        const lastAnswerAt = clock.nowMilliseconds() + callerWaitMilliseconds;
        while (this.deployment.record.answers.length < this.jobs.size && clock.nowMilliseconds() < lastAnswerAt) {
            this.deployment.advance(awaitIntervalMilliseconds);
        }
    }

    /**
     * Counts the jobs of one kind by outcome.
     *
     * @param name - name of the kind
     * @returns numbers of jobs
     */
    public countJobs(name: string): KindResult {
        const outcomes = new Map<string, CountedOutcome>();
        for (const { job, answer, atMilliseconds } of this.deployment.record.answers) {
            const submitted = this.jobs.get(job);
            if (submitted !== undefined && (answer.kind === "done" || answer.kind === "refused")) {
                const isInTime = atMilliseconds - submitted.arrivedAt <= submitted.objectiveMilliseconds;
                outcomes.set(job, answer.kind === "refused" ? "refused" : isInTime ? "inTime" : "late");
            }
        }
        return this.summarize(name, outcomes);
    }

    /**
     * Counts the jobs of one kind by their outcome in the ideal queue; `run` must have submitted them.
     *
     * @param name - name of the kind
     * @param takesByPriority - true when the queue takes jobs by priority first, otherwise as they arrive
     * @returns numbers of jobs
     */
    public countIdealJobs(name: string, takesByPriority: boolean): KindResult {
        const { workers, workerKinds = [{ size: 1, speed: 1 }] } = this.options;
        const kinds = Array.from({ length: workers }, (_, index) => workerKinds[index % workerKinds.length]!);
        const jobs = [...this.jobs];
        const order = jobs.map((_, index) => index);
        if (takesByPriority) {
            order.sort((left, right) => jobs[left]![1].kind.priority - jobs[right]![1].kind.priority || left - right);
        }
        const isInTime = simulateIdealQueue(jobs.map(([, job]) => job), order, kinds, workerMilliCores);
        return this.summarize(
            name,
            new Map(jobs.map(([id], index) => [id, isInTime[index] === true ? "inTime" : "refused"])),
        );
    }

    private summarize(name: string, outcomes: ReadonlyMap<string, CountedOutcome>): KindResult {
        const jobs = [...this.jobs].filter(([, job]) => job.kind.name === name);
        const measureWork = ({ taskDurations, milliCores }: IdealJob): number => {
            return taskDurations.reduce((sum, duration) => sum + duration, 0) * milliCores;
        };
        const meanWork = jobs.reduce((sum, [, job]) => sum + measureWork(job), 0) / Math.max(1, jobs.length);
        const counts = { inTime: 0, late: 0, refused: 0 };
        let worth = 0;
        for (const [id, job] of jobs) {
            const outcome = outcomes.get(id);
            const jobWorth = fixedWorth + (1 - fixedWorth) * measureWork(job) / meanWork;
            worth += outcome === "inTime" ? jobWorth : outcome === "late" ? jobWorth * lateWorth : 0;
            if (outcome !== undefined) {
                counts[outcome] += 1;
            }
        }
        return { jobs: jobs.length, ...counts, worth: worth / Math.max(1, jobs.length) };
    }

    /**
     * Lists the submitted jobs with their outcomes.
     *
     * @returns one item for each job, in the order of submission
     */
    public listOutcomes(): readonly JobOutcome[] {
        const answers = new Map(this.deployment.record.answers.map(answer => [answer.job, answer]));
        return [...this.jobs].map(([id, job]) => {
            const answered = answers.get(id);
            const answeredAfterMilliseconds = answered === undefined
                ? undefined
                : answered.atMilliseconds - job.arrivedAt;
            const isInTime = (answeredAfterMilliseconds ?? Infinity) <= job.objectiveMilliseconds;
            const doneOutcome = isInTime ? "in-time" : "late";
            const kind = answered?.answer.kind;
            return {
                kind: job.kind.name,
                workCoreMilliseconds: job.workCoreMilliseconds,
                outcome: kind === "done" ? doneOutcome : kind === "refused" ? "refused" : "lost",
                answeredAfterMilliseconds,
            };
        });
    }

    private getJobsPerSecond({ name, jobsPerSecond }: JobKind): number {
        const { burstKind, burstFactor = 1 } = this.options;
        return jobsPerSecond * (name === burstKind ? burstFactor : 1);
    }

    private sumJobsPerSecond(): number {
        return this.jobKinds.reduce((sum, kind) => sum + this.getJobsPerSecond(kind), 0);
    }

    private drawJobKind(): JobKind {
        let remainder = this.random.nextFraction() * this.sumJobsPerSecond();
        const drawn = this.jobKinds.find(kind => {
            remainder -= this.getJobsPerSecond(kind);
            return remainder < 0;
        });
        return drawn ?? this.jobKinds[0]!;
    }

    /** Draws the entry of a job; with waves, entries of a zone get more callers while its demand is high. */
    private drawEntry(sinceStart: number): number {
        const { entries, zones = 1, zoneWaves, firstEntryShare = 0 } = this.options;
        if (firstEntryShare > 0 && this.random.nextFraction() < firstEntryShare) {
            return 0;
        }
        if (zoneWaves === undefined) {
            return this.random.nextInteger(entries);
        }
        const weights = Array.from({ length: entries }, (_, entry) => {
            const phase = sinceStart / zoneWaves.periodMilliseconds + (entry % zones) / zones;
            return 1 + zoneWaves.swing * Math.sin(2 * Math.PI * phase);
        });
        let remainder = this.random.nextFraction() * weights.reduce((sum, weight) => sum + weight, 0);
        const drawn = weights.findIndex(weight => {
            remainder -= weight;
            return remainder < 0;
        });
        return Math.max(0, drawn);
    }

    private submit(kind: JobKind, sinceStart: number): void {
        const id = this.jobs.size.toString(16).padStart(16, "0");
        const taskCount = Math.max(
            1,
            Math.min(
                kind.maximumTaskCount,
                Math.round(this.drawLogNormal(kind.meanTaskCount, logNormalDeviations.betweenJobs)),
            ),
        );
        const meanMilliseconds = Math.min(
            kind.maximumTaskMilliseconds,
            this.drawLogNormal(kind.meanTaskMilliseconds, logNormalDeviations.betweenJobs),
        );
        const taskDurations = Array.from({ length: taskCount }, () => {
            const milliseconds = this.drawLogNormal(meanMilliseconds, logNormalDeviations.withinJob);
            return Math.max(minimumTaskMilliseconds, Math.round(milliseconds * this.drawLengthFactor()));
        });
        const estimatedMilliseconds = Math.max(
            minimumTaskMilliseconds,
            Math.round(this.drawLogNormal(meanMilliseconds, logNormalDeviations.estimate)),
        );
        const milliCores = Math.min(
            maximumMilliCores,
            Math.round(
                this.drawLogNormal(this.options.meanMilliCores ?? defaultMeanMilliCores, logNormalDeviations.cores),
            ),
        );
        const job = {
            id,
            route: kind.name,
            priority: kind.priority,
            taskCount,
            needs: { milliCores, memoryMegabytes: 64, accelerators: 0 },
            estimatedMilliseconds,
            callerWaitMilliseconds,
            stretch: 1.6,
            allowanceMilliseconds: 60,
        };
        this.taskDurationsByJob.set(id, taskDurations);
        if (this.drawsCrash(kind, sinceStart)) {
            this.crashingJobs.add(id);
        }
        this.jobs.set(id, {
            kind,
            arrivedAt: this.deployment.clock.nowMilliseconds(),
            milliCores,
            taskDurations,
            objectiveMilliseconds: job.allowanceMilliseconds + job.stretch * Math.max(...taskDurations),
            workCoreMilliseconds: taskDurations.reduce((sum, duration) => sum + duration, 0) * milliCores / 1000,
        });
        this.deployment.submit(this.drawEntry(sinceStart), job);
    }

    private drawsCrash(kind: JobKind, sinceStart: number): boolean {
        const { crashingJobs } = this.options;
        return crashingJobs !== undefined && crashingJobs.kind === kind.name
            && sinceStart >= crashingJobs.fromMilliseconds && sinceStart <= crashingJobs.untilMilliseconds
            && this.random.nextFraction() < crashingJobs.share;
    }

    /** Draws by how much longer a task takes than the others of its job. */
    private drawLengthFactor(): number {
        const { longTasks } = this.options;
        return longTasks !== undefined && this.random.nextFraction() < longTasks.share ? longTasks.factor : 1;
    }

    /** Draws from a log-normal distribution with the given mean. */
    private drawLogNormal(mean: number, deviation: number): number {
        const radius = Math.sqrt(-2 * Math.log(1 - this.random.nextFraction()));
        const normal = radius * Math.cos(2 * Math.PI * this.random.nextFraction());
        return mean * Math.exp(deviation * normal - deviation * deviation / 2);
    }
}
