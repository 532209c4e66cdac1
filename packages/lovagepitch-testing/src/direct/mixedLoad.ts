/**
 * Load generator with a job mix like that of the users' two sites: three kinds of jobs of equal total value; the urgent
 * ones are short and have many tasks.
 */
import { RandomSource } from "@lovagepitch/utils/randomSource";
import { DirectDeployment } from "./directDeployment.js";

/** Arrival rate, size and priority of one kind of job. */
export interface JobKind {
    readonly name: string;
    /** Priority of the jobs; 0 is the most urgent. */
    readonly priority: number;
    readonly jobsPerSecond: number;
    /** Mean duration of a task, in milliseconds. */
    readonly meanTaskMilliseconds: number;
    readonly maximumTaskMilliseconds: number;
    /** Mean number of tasks of a job. */
    readonly meanTaskCount: number;
    readonly maximumTaskCount: number;
}

/** Rates, sizes and priorities from the users' site files, for eleven workers of 16 cores. */
export const defaultJobKinds: readonly JobKind[] = [
    {
        name: "urgent",
        priority: 0,
        jobsPerSecond: 37.8,
        meanTaskMilliseconds: 60,
        maximumTaskMilliseconds: 240,
        meanTaskCount: 8,
        maximumTaskCount: 32,
    },
    {
        name: "usual",
        priority: 1,
        jobsPerSecond: 110,
        meanTaskMilliseconds: 200,
        maximumTaskMilliseconds: 800,
        meanTaskCount: 2,
        maximumTaskCount: 8,
    },
    {
        name: "long",
        priority: 2,
        jobsPerSecond: 6.9,
        meanTaskMilliseconds: 900,
        maximumTaskMilliseconds: 3600,
        meanTaskCount: 4,
        maximumTaskCount: 16,
    },
];

/**
 * Standard deviations of the underlying normal distributions, from the same files: of durations and task counts between
 * jobs, of durations within a job, of estimates and of cores.
 */
const logNormalDeviations = { betweenJobs: 0.4, withinJob: 0.15, estimate: 0.4, cores: 0.2 } as const;

const meanMilliCores = 1600;
const maximumMilliCores = 2300;
const minimumTaskMilliseconds = 5;
const callerWaitMilliseconds = 20_000;

/** Time to finish the open jobs after the last arrival. */
const drainMilliseconds = 4000;

/** Size of the deployment and of the load. */
export interface MixedLoadOptions {
    readonly entries: number;
    readonly workers: number;
    /** Number of availability zones; 1 by default. */
    readonly zones?: number;
    /** Share of the jobs that arrive at the first entry, in addition to its even share; 0 by default. */
    readonly firstEntryShare?: number;
    /** Factor by which the default arrival rate of each kind is multiplied. */
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
}

interface SubmittedJob {
    readonly kind: JobKind;
    readonly arrivedAt: number;
    readonly objectiveMilliseconds: number;
}

/** Runs a mixed load on a simulated deployment. */
export class MixedLoad {
    /** Deployment that the load runs on. */
    public readonly deployment: DirectDeployment;
    private readonly random: RandomSource;
    private readonly taskDurationsByJob = new Map<string, readonly number[]>();
    private readonly jobs = new Map<string, SubmittedJob>();

    /**
     * @param options - size of the deployment and of the load
     */
    public constructor(private readonly options: MixedLoadOptions) {
        this.random = new RandomSource(options.seed);
        this.deployment = new DirectDeployment({
            entries: options.entries,
            workers: options.workers,
            zones: options.zones ?? 1,
            milliCores: 16_000,
            seed: options.seed,
            getTaskDurationMilliseconds: run =>
                this.taskDurationsByJob.get(run.job)?.[run.task] ?? minimumTaskMilliseconds,
        });
    }

    /** Submits the jobs of the load, then advances the clock so that the open jobs can finish. */
    public run(): void {
        const { clock } = this.deployment;
        const jobsPerSecond = defaultJobKinds.reduce((sum, kind) => sum + kind.jobsPerSecond, 0)
            * this.options.rateFactor;
        const startedAt = clock.nowMilliseconds();
        let nextArrival = startedAt;
        while (nextArrival < startedAt + this.options.durationSeconds * 1000) {
            nextArrival += -Math.log(1 - this.random.nextFraction()) * 1000 / jobsPerSecond;
            this.deployment.advance(Math.max(0, Math.floor(nextArrival) - clock.nowMilliseconds()));
            this.submit(this.drawJobKind());
        }
        this.deployment.advance(drainMilliseconds);
    }

    /**
     * Counts the jobs of one kind by outcome.
     *
     * @param name - name of the kind
     * @returns numbers of jobs
     */
    public countJobs(name: string): KindResult {
        const result = { jobs: 0, inTime: 0, late: 0, refused: 0 };
        for (const { kind } of this.jobs.values()) {
            result.jobs += kind.name === name ? 1 : 0;
        }
        for (const { job, answer, atMilliseconds } of this.deployment.record.answers) {
            const submittedJob = this.jobs.get(job);
            if (submittedJob?.kind.name !== name) {
                continue;
            }
            const isInTime = atMilliseconds - submittedJob.arrivedAt <= submittedJob.objectiveMilliseconds;
            result.inTime += answer.kind === "done" && isInTime ? 1 : 0;
            result.late += answer.kind === "done" && !isInTime ? 1 : 0;
            result.refused += answer.kind === "refused" ? 1 : 0;
        }
        return result;
    }

    private drawJobKind(): JobKind {
        let remainder = this.random.nextFraction() * defaultJobKinds.reduce((sum, kind) => sum + kind.jobsPerSecond, 0);
        const drawn = defaultJobKinds.find(kind => {
            remainder -= kind.jobsPerSecond;
            return remainder < 0;
        });
        return drawn ?? defaultJobKinds[0]!;
    }

    private submit(kind: JobKind): void {
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
            return Math.max(
                minimumTaskMilliseconds,
                Math.round(this.drawLogNormal(meanMilliseconds, logNormalDeviations.withinJob)),
            );
        });
        const estimatedMilliseconds = Math.max(
            minimumTaskMilliseconds,
            Math.round(this.drawLogNormal(meanMilliseconds, logNormalDeviations.estimate)),
        );
        const milliCores = Math.min(
            maximumMilliCores,
            Math.round(this.drawLogNormal(meanMilliCores, logNormalDeviations.cores)),
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
        this.jobs.set(id, {
            kind,
            arrivedAt: this.deployment.clock.nowMilliseconds(),
            objectiveMilliseconds: job.allowanceMilliseconds + job.stretch * Math.max(...taskDurations),
        });
        const { entries, firstEntryShare = 0 } = this.options;
        const isForFirst = firstEntryShare > 0 && this.random.nextFraction() < firstEntryShare;
        this.deployment.submit(isForFirst ? 0 : this.random.nextInteger(entries), job);
    }

    /** Draws from a log-normal distribution with the given mean. */
    private drawLogNormal(mean: number, deviation: number): number {
        const radius = Math.sqrt(-2 * Math.log(1 - this.random.nextFraction()));
        const normal = radius * Math.cos(2 * Math.PI * this.random.nextFraction());
        return mean * Math.exp(deviation * normal - deviation * deviation / 2);
    }
}
