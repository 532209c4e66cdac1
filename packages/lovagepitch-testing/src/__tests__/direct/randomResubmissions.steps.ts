import { Then, When } from "@cucumber/cucumber";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import assert from "node:assert/strict";
import { DirectDeployment } from "../../direct/directDeployment.js";
import { setFault } from "./directFaults.js";

const entryCount = 2;

const workerCount = 4;

/** Time after which a caller sends its job to another entry, in milliseconds. */
const resendMilliseconds = 1300;

/** Run times of the tasks of each job, in milliseconds. */
const taskMilliseconds = [40, 150, 400, 1500];

let deployment = createDeployment(1);

/** Jobs that were sent to more than one process of an entry; none knows of the runs of another one. */
let movedJobs: ReadonlySet<string> = new Set();

function createDeployment(seed: number): DirectDeployment {
    return new DirectDeployment({
        entries: entryCount,
        workers: workerCount,
        milliCores: 16_000,
        seed,
        getTaskDurationMilliseconds: run => taskMilliseconds[run.task] ?? 100,
    });
}

/** Callers that send jobs, lose their connections and send the jobs again, and faults meanwhile. */
class RandomCallers {
    private jobs = 0;
    /** Number of times that each entry has been killed; requests to an earlier process are gone with it. */
    private readonly kills = Array.from({ length: entryCount }, () => 0);
    private readonly killed = new Set<number>();
    /** Entry and number of its kills before, at the first submission of each job. */
    private readonly firstProcesses = new Map<string, string>();
    public readonly movedJobs = new Set<string>();

    public constructor(private readonly random: RandomSource) {}

    public sendJob(): void {
        this.jobs += 1;
        const id = this.jobs.toString(16).padStart(16, "0");
        this.send(id, this.random.nextInteger(entryCount), 1 + this.random.nextInteger(4));
    }

    private send(id: string, entry: number, sendsLeft: number): void {
        if (this.killed.has(entry)) {
            this.after(resendMilliseconds, () => this.send(id, (entry + 1) % entryCount, sendsLeft));
            return;
        }
        const kills = this.kills[entry];
        const process = `${entry} ${kills}`;
        if ((this.firstProcesses.get(id) ?? process) !== process) {
            this.movedJobs.add(id);
        }
        this.firstProcesses.set(id, this.firstProcesses.get(id) ?? process);
        const request = deployment.submit(entry, {
            id,
            taskCount: taskMilliseconds.length,
            estimatedMilliseconds: 400,
            allowanceMilliseconds: 2000,
            callerWaitMilliseconds: 20_000,
        });
        if (sendsLeft === 0) {
            return;
        }
        this.after(this.random.nextInteger(700), () => {
            const isAnswered = deployment.record.answers.some(answer => answer.job === id);
            const isGone = this.kills[entry] !== kills;
            if (isAnswered && this.random.nextInteger(4) > 0) {
                return;
            }
            if (!isGone) {
                deployment.closeCallerConnection(entry, request, id);
            }
            const isSame = !isGone && this.random.nextInteger(3) > 0;
            const delay = isSame ? this.random.nextInteger(3) * this.random.nextInteger(600) : resendMilliseconds;
            const next = isSame ? entry : this.random.nextInteger(entryCount);
            this.after(delay, () => {
                // A process that has started meanwhile does not know the runs of its predecessor.
                const isKnown = next === entry && this.kills[next] === kills;
                this.after(isKnown ? 0 : resendMilliseconds - delay, () => this.send(id, next, sendsLeft - 1));
            });
        });
    }

    /** Starts a fault, which ends by itself. */
    public injectFault(): void {
        const { random } = this;
        const index = random.nextInteger(workerCount);
        const entry = random.nextInteger(entryCount);
        const duration = 50 + random.nextInteger(1500);
        switch (random.nextInteger(11)) {
            case 0:
                return this.setFaultFor(index, duration, { stopDelayMilliseconds: 50 + random.nextInteger(2500) }, {
                    stopDelayMilliseconds: undefined,
                });
            case 1:
                return this.setFaultFor(index, duration, { rejectsStops: true }, { rejectsStops: false });
            case 2:
                return this.setFaultFor(index, duration, { unansweredCallInterval: 2 + random.nextInteger(4) }, {
                    unansweredCallInterval: undefined,
                });
            case 3:
                return this.setFaultFor(index, duration, { dropsResponses: true }, { dropsResponses: false });
            case 4:
                return this.setFaultFor(index, duration, { orderDelayMilliseconds: random.nextInteger(2500) }, {
                    orderDelayMilliseconds: undefined,
                });
            case 5:
                deployment.killAgent(index);
                return this.after(duration, () => deployment.restartAgent(index, entry === 0 ? "report" : "record"));
            case 6:
                deployment.setFrozen("agent", index, true);
                return this.after(duration, () => deployment.setFrozen("agent", index, false));
            case 7:
                return this.killEntry(entry, duration);
            case 8:
                return deployment.linkNetwork.silence(() => random.nextInteger(2) === 0);
            default:
                return deployment.linkNetwork.close(() => random.nextInteger(2) === 0);
        }
    }

    private setFaultFor(
        worker: number,
        duration: number,
        fault: Parameters<typeof setFault>[2],
        none: Parameters<typeof setFault>[2],
    ): void {
        setFault(deployment, worker, fault);
        this.after(duration, () => setFault(deployment, worker, none));
    }

    private killEntry(entry: number, duration: number): void {
        if (this.killed.size > 0) {
            return;
        }
        this.killed.add(entry);
        this.kills[entry] = (this.kills[entry] ?? 0) + 1;
        deployment.killEntry(entry);
        this.after(duration, () => {
            this.killed.delete(entry);
            deployment.restartEntry(entry);
        });
    }

    private after(milliseconds: number, action: () => void): void {
        deployment.queue.schedule(deployment.clock.nowMilliseconds() + milliseconds, action, undefined);
    }
}

When(
    "jobs are sent again for {int} s among faults in random order with seed {int}",
    { timeout: 60_000 },
    (seconds: number, seed: number) => {
        deployment = createDeployment(seed);
        const random = new RandomSource(seed);
        const callers = new RandomCallers(random);
        deployment.advance(1500);
        const end = deployment.clock.nowMilliseconds() + seconds * 1000;
        while (deployment.clock.nowMilliseconds() < end) {
            callers.sendJob();
            if (random.nextInteger(4) === 0) {
                callers.injectFault();
            }
            deployment.advance(20 + random.nextInteger(80));
        }
        deployment.advance(8000);
        movedJobs = callers.movedJobs;
    },
);

Then("none of their tasks ran twice at the same time, and each answer was that of its submission", () => {
    const { record } = deployment;
    // What a refusal by another process says of the job is not proved; see docs/UNPROVED.md.
    const violations = record.violations.filter(violation => {
        const [, refused = ""] = /^job (\w+) was refused after a task had started$/.exec(violation) ?? [];
        return !movedJobs.has(refused);
    });
    assert.deepEqual(violations, []);
    assert.ok(record.answers.filter(({ answer }) => answer.kind === "done").length > 20);
});
