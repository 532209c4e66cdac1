import { Given, Then } from "@cucumber/cucumber";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import assert from "node:assert/strict";
import { DirectDeployment } from "../../direct/directDeployment.js";
import { setFault } from "./directFaults.js";

const workers = 4;
const entries = 2;
const jobs = 12;

/** Time after which a caller whose connection has broken sends its job again, in milliseconds. */
const resendDelayMilliseconds = 1300;

/** Longest time between two steps, in milliseconds. */
const maximumStepMilliseconds = 500;

/** Number of faults that last at the same time. */
const maximumFaults = 3;

/** Time for which a caller waits, in milliseconds. */
const callerWaitMilliseconds = 20_000;

/** Time after the last step until every caller has been answered, in milliseconds. */
const settleMilliseconds = callerWaitMilliseconds + 1000;

interface OpenJob {
    readonly entry: number;
    /** Undefined while its caller has no connection. */
    readonly request: number | undefined;
}

/** Sequence of submissions, broken connections and faults. */
class LeaseSequence {
    public readonly deployment: DirectDeployment;
    public submissions = 0;
    private readonly random: RandomSource;
    private readonly openJobs = new Map<string, OpenJob>();
    private readonly faultEnds: (() => void)[] = [];

    public constructor(seed: number) {
        this.random = new RandomSource(seed);
        this.deployment = new DirectDeployment({
            entries,
            workers,
            milliCores: 16_000,
            seed,
            getTaskDurationMilliseconds: run => 1200 + (run.task * 397) % 2800,
        });
    }

    public run(steps: number): void {
        for (let step = 0; step < steps; step += 1) {
            this.perform();
            this.deployment.advance(this.random.nextInteger(maximumStepMilliseconds));
            while (this.faultEnds.length > maximumFaults) {
                this.faultEnds.shift()?.();
            }
        }
        this.faultEnds.forEach(end => end());
        this.deployment.advance(settleMilliseconds);
    }

    /** Lists the jobs whose caller has got no answer. */
    public listUnanswered(): readonly string[] {
        const answered = new Set(this.deployment.record.answers.map(({ job }) => job));
        return [...this.openJobs.keys()].filter(id => !answered.has(id));
    }

    private perform(): void {
        const { deployment, random } = this;
        const worker = random.nextInteger(workers);
        switch (random.nextInteger(10)) {
            case 0:
            case 1:
            case 2:
                return this.submitNew();
            case 3:
                return this.breakConnection();
            case 4:
                this.setFaults({ rejectsStops: true });
                this.faultEnds.push(() => this.setFaults({ rejectsStops: false }));
                return;
            case 5:
                setFault(deployment, worker, { stopDelayMilliseconds: 100 + random.nextInteger(3000) });
                this.faultEnds.push(() => setFault(deployment, worker, { stopDelayMilliseconds: undefined }));
                return;
            case 6:
                setFault(deployment, worker, { unansweredCallInterval: 3, lateViewsCountFromArrival: true });
                this.faultEnds.push(() => setFault(deployment, worker, { unansweredCallInterval: undefined }));
                return;
            case 7:
                deployment.setFrozen("agent", worker, true);
                this.faultEnds.push(() => deployment.setFrozen("agent", worker, false));
                return;
            case 8: {
                const entry = worker % entries;
                deployment.setFrozen("entry", entry, true);
                this.faultEnds.push(() => deployment.setFrozen("entry", entry, false));
                return;
            }
            default:
                deployment.killAgent(worker);
                this.faultEnds.push(() => deployment.restartAgent(worker));
        }
    }

    private submitNew(): void {
        const id = `c00000000000000${this.random.nextInteger(jobs).toString(16)}`;
        const entry = this.random.nextInteger(entries);
        if (!this.openJobs.has(id)) {
            this.submit(id, entry);
        }
    }

    private submit(id: string, entry: number): void {
        const job = { id, taskCount: 6, estimatedMilliseconds: 900, callerWaitMilliseconds };
        this.openJobs.set(id, { entry, request: this.deployment.submit(entry, job) });
        this.submissions += 1;
    }

    /** Breaks the connection of a caller, which sends its job again. */
    private breakConnection(): void {
        const { answers } = this.deployment.record;
        const waiting = [...this.openJobs].filter(([id]) => !answers.some(({ job }) => job === id));
        const entry = this.random.nextInteger(entries);
        const [id, job] = waiting[this.random.nextInteger(Math.max(1, waiting.length))] ?? [];
        if (id === undefined || job?.request === undefined) {
            return;
        }
        this.deployment.closeCallerConnection(job.entry, job.request, id);
        this.openJobs.set(id, { ...job, request: undefined });
        this.deployment.queue.schedule(
            this.deployment.clock.nowMilliseconds() + resendDelayMilliseconds,
            () => this.submit(id, entry),
            undefined,
        );
    }

    private setFaults(fault: Parameters<typeof setFault>[2]): void {
        this.deployment.workers.forEach((_, index) => setFault(this.deployment, index, fault));
    }
}

let sequence: LeaseSequence | undefined;

Given("a random sequence of {int} steps around leases, seed {int}", (steps: number, seed: number) => {
    sequence = new LeaseSequence(seed);
    sequence.run(steps);
});

Then(
    "no task ran twice at the same time in it, every answer of success was true, and every caller got an answer",
    () => {
        assert.ok(sequence !== undefined && sequence.submissions > jobs / 2);
        // An entry does not know what became of a submission of the job at another one (UNPROVED).
        const violations = sequence.deployment.record.violations.filter(violation =>
            !violation.includes("was refused after")
        );
        assert.deepEqual(violations, []);
        assert.deepEqual(sequence.listUnanswered(), []);
    },
);
