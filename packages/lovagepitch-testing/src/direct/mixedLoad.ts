/**
 * A load like the users' two sites have: three kinds of jobs of equal worth in all, the urgent ones short and wide.
 */
import { RandomSource } from "@lovagepitch/utils/randomSource";
import { DirectDeployment } from "./directDeployment.js";

/** One kind of jobs. */
export interface JobKind {
    readonly name: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly jobsPerSecond: number;
    /** Mean run time of a task, in milliseconds. */
    readonly meanTaskMilliseconds: number;
    readonly maximumTaskMilliseconds: number;
    /** Mean number of tasks. */
    readonly meanTaskCount: number;
    readonly maximumTaskCount: number;
}

/** Rates, sizes and priorities as the users' site files state them for eleven workers of 16 cores. */
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

/** Spreads of the same files: of run times and sizes between jobs, of run times within a job, of estimates, of cores. */
const logNormalDeviations = { betweenJobs: 0.4, withinJob: 0.15, estimate: 0.4, cores: 0.2 } as const;

const meanMilliCores = 1600;
const maximumMilliCores = 2300;
const minimumTaskMilliseconds = 5;
const callerWaitMilliseconds = 20_000;

/** Time for what is open at the end of the load, in milliseconds. */
const drainMilliseconds = 4000;

/** Sizes of a deployment under load. */
export interface MixedLoadOptions {
    readonly entries: number;
    readonly workers: number;
    /** Multiple of the usual rate of each kind. */
    readonly rateFactor: number;
    readonly durationSeconds: number;
    readonly seed: number;
}

/** What became of the jobs of one kind. */
export interface KindResult {
    readonly jobs: number;
    readonly inTime: number;
    readonly late: number;
    readonly refused: number;
}

interface SubmittedJob {
    readonly kind: JobKind;
    readonly arrivedAt: number;
    readonly objectiveMilliseconds: number;
}

/** Plays mixed loads on a deployment in one process. */
export class MixedLoad {
    /** The deployment. */
    public readonly deployment: DirectDeployment;
    private readonly random: RandomSource;
    private readonly taskDurationsByJob = new Map<string, readonly number[]>();
    private readonly jobs = new Map<string, SubmittedJob>();

    /**
     * @param shape - how large it is
     */
    public constructor(private readonly shape: MixedLoadOptions) {
        this.random = new RandomSource(shape.seed);
        this.deployment = new DirectDeployment({
            entries: shape.entries,
            workers: shape.workers,
            milliCores: 16_000,
            seed: shape.seed,
            getTaskDurationMilliseconds: run =>
                this.taskDurationsByJob.get(run.job)?.[run.task] ?? minimumTaskMilliseconds,
        });
    }

    /** Plays the load, and lets what is open at its end finish. */
    public run(): void {
        const { clock } = this.deployment;
        const jobsPerSecond = defaultJobKinds.reduce((sum, kind) => sum + kind.jobsPerSecond, 0)
            * this.shape.rateFactor;
        const startedAt = clock.nowMilliseconds();
        let nextArrival = startedAt;
        while (nextArrival < startedAt + this.shape.durationSeconds * 1000) {
            nextArrival += -Math.log(1 - this.random.nextFraction()) * 1000 / jobsPerSecond;
            this.deployment.advance(Math.max(0, Math.floor(nextArrival) - clock.nowMilliseconds()));
            this.submit(this.drawJobKind());
        }
        this.deployment.advance(drainMilliseconds);
    }

    /**
     * Counts what became of the jobs of a kind.
     *
     * @param name - of the kind
     * @returns the counts
     */
    public countJobs(name: string): KindResult {
        const result = { jobs: 0, inTime: 0, late: 0, refused: 0 };
        for (const { kind } of this.jobs.values()) {
            result.jobs += kind.name === name ? 1 : 0;
        }
        for (const { job, answer, atMilliseconds } of this.deployment.record.answers) {
            const loaded = this.jobs.get(job);
            if (loaded?.kind.name !== name) {
                continue;
            }
            const isInTime = atMilliseconds - loaded.arrivedAt <= loaded.objectiveMilliseconds;
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
        this.deployment.submit(this.random.nextInteger(this.shape.entries), job);
    }

    /** Draws from a log-normal distribution. */
    private drawLogNormal(mean: number, deviation: number): number {
        const radius = Math.sqrt(-2 * Math.log(1 - this.random.nextFraction()));
        const normal = radius * Math.cos(2 * Math.PI * this.random.nextFraction());
        return mean * Math.exp(deviation * normal - deviation * deviation / 2);
    }
}
