import { Then, When } from "@cucumber/cucumber";
import {
    entryLeaseMilliseconds,
    reactionAllowanceMilliseconds,
    workerClockRateError,
} from "@lovagepitch/direct/model/timing";
import assert from "node:assert/strict";
import { DirectDeployment } from "../../direct/directDeployment.js";
import { setFault } from "./directFaults.js";

/** Why an entry interrupts the job: its time is over, or the process shuts down, ends then, or is replaced by another one. */
type Cause = "expiry" | "shutdown" | "end" | "replacement";

/** What keeps the stops from taking effect. */
type Fault =
    | "none"
    | "cut-off"
    | "cut-off-and-refused-stops"
    | "refused-stops"
    | "late-stops"
    | "closed-links"
    | "lost-stops";

const longTaskMilliseconds = 4000;
const workerCount = 2;

/** Instants at which the fault begins, in milliseconds after the interruption. */
const faultInstants = [-3, -2, -1, 0, 1, 2, 60] as const;

/** Time from the arrival of the job until its entry interrupts it, in milliseconds. */
const interruptedAfterMilliseconds = 400;

/** Last of the instants at which something happens to processes and connections, in milliseconds after the interruption. */
const lastInstant = 100;

/** Time for which short jobs renew leases before the interruption, in milliseconds. */
const streamMilliseconds = 60;

/** Interval of the short jobs of the other entry that lead to view calls around the expiry, in milliseconds. */
const viewCycleMilliseconds = 14;

/** Time from the interruption until the process ends, and from then until the next one begins, in milliseconds. */
const processEndMilliseconds = 50;

/** Time after the next submission within which the job ends, in milliseconds. */
const settlingMilliseconds = 9000;

const longJob = {
    id: "e000000000000001",
    taskCount: 8,
    estimatedMilliseconds: longTaskMilliseconds,
    stretch: 10,
    callerWaitMilliseconds: 20_000,
} as const;

/** One trial and what it showed. */
interface Trial {
    readonly description: string;
    readonly deployment: DirectDeployment;
    /** Runs of the interrupted submission that went on when the job was sent again. */
    readonly remainingRuns: number;
}

let trials: readonly Trial[] = [];

When(
    /^a job of long tasks is interrupted by (expiry|shutdown|end|replacement) with the fault (\S+), and sent to entry (\d) after (\d+) ms$/,
    (cause: Cause, fault: Fault, entry: string, milliseconds: string) => {
        trials = faultInstants.map(at => runTrial(cause, fault, at, Number(entry), Number(milliseconds)));
    },
);

Then("the caller was told of the interruption, and no task ran twice", () => {
    trials.forEach(checkTrial);
});

Then(
    "the caller was told of the interruption, nothing of it ran when it was sent again, and no task ran twice",
    () => {
        for (const trial of trials) {
            assert.equal(trial.remainingRuns, 0, trial.description);
            checkTrial(trial);
        }
    },
);

Then("entry 1 answered that the job is done", () => {
    for (const { description, deployment } of trials) {
        assert.equal(listAnswers(deployment).at(-1), "done", description);
    }
});

function checkTrial({ description, deployment }: Trial): void {
    assert.equal(listAnswers(deployment)[0], "interrupted", description);
    assert.deepEqual(deployment.record.violations, [], description);
}

function listAnswers({ record }: DirectDeployment): readonly string[] {
    return record.answers.filter(({ job }) => job === longJob.id).map(({ answer }) => answer.kind);
}

function runTrial(
    cause: Cause,
    fault: Fault,
    faultAt: (typeof faultInstants)[number],
    entry: number,
    waitMilliseconds: number,
): Trial {
    const deployment = new DirectDeployment({
        entries: 2,
        workers: workerCount,
        milliCores: 16_000,
        seed: 1,
        workerClockRate: 1 - workerClockRateError,
        getTaskDurationMilliseconds: run => run.job === longJob.id ? longTaskMilliseconds : 6,
    });
    const callerWaitMilliseconds = cause === "expiry" ? interruptedAfterMilliseconds : longJob.callerWaitMilliseconds;
    deployment.submit(0, { ...longJob, callerWaitMilliseconds });
    deployment.advance(interruptedAfterMilliseconds - streamMilliseconds);
    let sentAgainAt: number | undefined;
    let remainingRuns = 0;
    for (let at = -streamMilliseconds; at <= Math.max(sentAgainAt ?? at, lastInstant); at += 1) {
        if (at < 0 && at % 3 === 0) {
            submitShortJob(deployment, 0, at);
        }
        const phase = 2 * faultInstants.indexOf(faultAt);
        const isNearExpiry =
            Math.abs(at - entryLeaseMilliseconds) <= reactionAllowanceMilliseconds + viewCycleMilliseconds;
        if (isNearExpiry && (at + phase) % viewCycleMilliseconds === 0) {
            submitShortJob(deployment, 1, at);
        }
        if (at === faultAt) {
            beginFault(deployment, fault);
        }
        if (at === 0 && cause !== "expiry") {
            deployment.interruptEntry(0);
        }
        performProcessEnd(deployment, cause, at);
        if (at === sentAgainAt) {
            remainingRuns = countLongRuns(deployment);
            deployment.submit(entry, longJob);
        }
        deployment.advance(1);
        if (sentAgainAt === undefined && listAnswers(deployment).length > 0) {
            sentAgainAt = at + 1 + waitMilliseconds;
        }
        assert.ok(at < settlingMilliseconds, "the job was not answered");
    }
    deployment.setPartitioned("entry", 0, false);
    deployment.advance(settlingMilliseconds);
    deployment.workers.forEach(worker => worker.advance());
    deployment.record.checkRunningTasks();
    return { description: `${cause}, ${fault} at ${faultAt}`, deployment, remainingRuns };
}

function performProcessEnd(deployment: DirectDeployment, cause: Cause, at: number): void {
    if (at === processEndMilliseconds && (cause === "end" || cause === "replacement")) {
        deployment.killEntry(0);
    }
    if (at === 2 * processEndMilliseconds && cause === "replacement") {
        deployment.setPartitioned("entry", 0, false);
        deployment.restartEntry(0);
    }
}

function beginFault(deployment: DirectDeployment, fault: Fault): void {
    const setFaults = (faults: Parameters<typeof setFault>[2]): void => {
        deployment.workers.forEach((_, index) => setFault(deployment, index, faults));
    };
    switch (fault) {
        case "none":
            return;
        case "cut-off":
            deployment.setPartitioned("entry", 0, true);
            return;
        case "cut-off-and-refused-stops":
            deployment.setPartitioned("entry", 0, true);
            setFaults({ rejectsStops: true });
            return;
        case "refused-stops":
            setFaults({ rejectsStops: true });
            return;
        case "late-stops":
            setFaults({ stopDelayMilliseconds: 3000 });
            return;
        case "closed-links":
            deployment.linkNetwork.close(entry => entry === 0);
            return;
        case "lost-stops":
            deployment.linkNetwork.silence(entry => entry === 0, "to-agent");
    }
}

function submitShortJob(deployment: DirectDeployment, entry: number, at: number): void {
    deployment.submit(entry, {
        id: `a000000${entry}${(at + 10_000).toString(16).padStart(8, "0")}`,
        taskCount: workerCount,
        maximumPerWorker: 1,
        needs: { milliCores: 200, memoryMegabytes: 1, accelerators: 0 },
    });
}

function countLongRuns(deployment: DirectDeployment): number {
    deployment.workers.forEach(worker => worker.advance());
    return deployment.record.listRunningTasks().filter(task => task.startsWith(longJob.id)).length;
}
