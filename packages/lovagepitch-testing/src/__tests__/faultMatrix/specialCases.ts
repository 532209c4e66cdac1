/**
 * Cases of the fault matrix that need their own settings or order of events.
 */
import { healthyLink, type LinkFault } from "../../harness/network.js";
import { createMatrixJob, createMatrixManifest, matrixZones } from "./matrixJobs.js";
import { MatrixRun } from "./matrixRun.js";
import { fillAllSlots, runUntilStarted } from "./requestSteps.js";

const shortWindowMilliseconds = 4000;
const pastWindowMilliseconds = 3 * shortWindowMilliseconds;
const spareAgentIndex = 3;
const contendingJobCount = 12;
/** Time after a start at which the owner entry has queried the task but not yet resent the start. */
const beforeResendMilliseconds = 250;

/** Sets up a run, injects faults and ends them. The caller then settles and checks the run. */
export type SpecialCase = (seed: number) => MatrixRun;

function setStartLinkFault(run: MatrixRun, fault: Partial<LinkFault>): void {
    const [entry] = run.deployment.entries;
    for (const agent of run.deployment.agents) {
        run.deployment.network.setFault(entry?.address ?? "", agent.address, { ...healthyLink, ...fault });
    }
}

function setOwnerLinkFault(run: MatrixRun, fault: LinkFault | undefined): void {
    const [owner, other] = run.deployment.entries;
    const hosts = [other, ...run.deployment.agents.slice(0, spareAgentIndex)];
    for (const host of hosts) {
        run.deployment.network.setFault(owner?.address ?? "", host?.address ?? "", fault);
        run.deployment.network.setFault(host?.address ?? "", owner?.address ?? "", fault);
    }
}

function setReportLinkFault(run: MatrixRun, fault: LinkFault | undefined): void {
    const [entry] = run.deployment.entries;
    for (const agent of run.deployment.agents) {
        run.deployment.network.setFault(agent.address, entry?.address ?? "", fault);
    }
}

function clearStartLinkFault(run: MatrixRun): void {
    const [entry] = run.deployment.entries;
    for (const agent of run.deployment.agents) {
        run.deployment.network.setFault(entry?.address ?? "", agent.address, undefined);
    }
}

function submitWithDelayedStarts(run: MatrixRun, extraMilliseconds: number): void {
    setStartLinkFault(run, { extraMilliseconds });
    run.submitJob();
    run.advanceUntil(() => run.events.isStartSent);
    run.deployment.advance(1);
    clearStartLinkFault(run);
}

function runTraffic(run: MatrixRun, milliseconds: number): void {
    const step = 500;
    for (let passed = 0; passed < milliseconds; passed += step) {
        run.submitOtherJob(createMatrixJob({ tasks: 2, milliseconds: 50 }), 1);
        run.deployment.advance(step);
    }
}

function createShortWindowRun(seed: number): MatrixRun {
    return new MatrixRun(seed, { resubmissionWindowMilliseconds: shortWindowMilliseconds });
}

function submitAndFreezeOwner(run: MatrixRun): void {
    run.submitJob();
    freezeOwnerOnArrival(run);
}

function freezeOwnerOnArrival(run: MatrixRun): void {
    run.advanceUntil(() => run.events.isJobReceived);
    run.deployment.entries[0]?.freezeBetweenTickAndOutputs();
    run.deployment.advance(1);
}

function resubmitAtOtherEntry(run: MatrixRun): void {
    const submission = run.caller?.submission;
    if (submission !== undefined) {
        run.deployment.submit(1, run.job, submission);
    }
    run.deployment.advance(1500);
}

/** The cases, by the names that the feature uses. */
export const specialCases: { readonly [name: string]: SpecialCase } = {
    "a duplicated start arrives after the resubmission window": seed => {
        const run = createShortWindowRun(seed);
        setStartLinkFault(run, { copies: 2, copyGapMilliseconds: pastWindowMilliseconds });
        run.submitJob();
        run.advanceUntil(() => run.caller?.result !== undefined);
        clearStartLinkFault(run);
        runTraffic(run, pastWindowMilliseconds + shortWindowMilliseconds);
        return run;
    },
    "a start arrives after the resubmission window and the deadline": seed => {
        const run = createShortWindowRun(seed);
        run.job = createMatrixJob({ deadlineMilliseconds: 2000 });
        submitWithDelayedStarts(run, pastWindowMilliseconds);
        runTraffic(run, pastWindowMilliseconds + shortWindowMilliseconds);
        return run;
    },
    "a start arrives after a sweep reported not run": seed => {
        const run = new MatrixRun(seed);
        submitWithDelayedStarts(run, 2500);
        run.deployment.entries[0]?.crash();
        resubmitAtOtherEntry(run);
        run.deployment.entries[0]?.start();
        return run;
    },
    "a start arrives after a sweep and the resubmission window": seed => {
        const run = createShortWindowRun(seed);
        run.job = createMatrixJob({ deadlineMilliseconds: 30_000 });
        submitWithDelayedStarts(run, pastWindowMilliseconds);
        run.deployment.entries[0]?.crash();
        resubmitAtOtherEntry(run);
        run.deployment.entries[0]?.start();
        runTraffic(run, pastWindowMilliseconds + shortWindowMilliseconds);
        return run;
    },
    "an id is used after its owner entry was replaced": seed => {
        const run = new MatrixRun(seed);
        const caller = run.prepareCaller();
        caller.requestSubmissionId();
        run.advanceUntil(() => caller.submission !== undefined);
        run.deployment.entries[0]?.crash();
        run.deployment.entries[0]?.start();
        caller.start();
        return run;
    },
    "an id is used after it expired": seed => {
        const run = createShortWindowRun(seed);
        const caller = run.prepareCaller();
        caller.requestSubmissionId();
        run.advanceUntil(() => caller.submission !== undefined);
        runTraffic(run, pastWindowMilliseconds);
        caller.start();
        return run;
    },
    "a key is used for another job": seed => {
        const run = new MatrixRun(seed);
        run.submitJob("dawn reading");
        run.deployment.callers.submitWithKey(1, createMatrixJob(), "dawn reading");
        run.deployment.advance(1000);
        run.deployment.callers.submitWithKey(0, createMatrixJob(), "dawn reading");
        return run;
    },
    "a frozen owner entry resumes after a sweep reported not run": seed => {
        const run = new MatrixRun(seed);
        submitAndFreezeOwner(run);
        resubmitAtOtherEntry(run);
        run.deployment.entries[0]?.resume();
        return run;
    },
    "an agent registers after a sweep and the owner entry resumes": seed => {
        const run = new MatrixRun(seed);
        submitAndFreezeOwner(run);
        resubmitAtOtherEntry(run);
        run.deployment.agents[spareAgentIndex]?.start();
        run.deployment.advance(500);
        run.deployment.entries[0]?.resume();
        return run;
    },
    "an agent registers after a sweep while the owner entry is partitioned": seed => {
        const run = new MatrixRun(seed);
        fillAllSlots(run);
        run.job = createMatrixJob({ deadlineMilliseconds: 20_000 });
        run.submitJob();
        run.advanceUntil(() => run.events.isJobAdmitted);
        run.deployment.advance(1);
        setOwnerLinkFault(run, { ...healthyLink, lossShare: 1 });
        resubmitAtOtherEntry(run);
        run.deployment.agents[spareAgentIndex]?.start();
        run.deployment.advance(shortWindowMilliseconds);
        setOwnerLinkFault(run, undefined);
        return run;
    },
    "the only worker of a job and its owner entry are lost": seed => {
        const run = new MatrixRun(seed);
        run.job = createMatrixJob({ tasks: 1, milliseconds: 500 });
        runUntilStarted(run);
        const worker = run.deployment.starts.starts.at(-1)?.worker;
        const agent = run.deployment.agents.find(candidate => candidate.worker === worker);
        agent?.crash();
        run.deployment.entries[0]?.crash();
        resubmitAtOtherEntry(run);
        agent?.start();
        run.deployment.entries[0]?.start();
        return run;
    },
    "the only worker of a job is frozen and its owner entry lost": seed => {
        const run = new MatrixRun(seed);
        run.job = createMatrixJob({ tasks: 1, milliseconds: 500 });
        runUntilStarted(run);
        const worker = run.deployment.starts.starts.at(-1)?.worker;
        const agent = run.deployment.agents.find(candidate => candidate.worker === worker);
        agent?.freeze();
        run.deployment.entries[0]?.crash();
        resubmitAtOtherEntry(run);
        agent?.resume();
        run.deployment.entries[0]?.start();
        return run;
    },
    "an agent restarts at its address while starts are late": seed => {
        const run = new MatrixRun(seed);
        submitWithDelayedStarts(run, 300);
        for (const agent of run.deployment.agents.slice(0, spareAgentIndex)) {
            agent.crash();
            agent.start();
        }
        return run;
    },
    "an answer is requested at every entry after a graceful shutdown": seed => {
        const run = new MatrixRun(seed);
        run.submitJob();
        run.advanceUntil(() => run.caller?.result !== undefined);
        run.deployment.entries[0]?.stop();
        run.advanceUntil(() => run.deployment.entries[0]?.state === "stopped");
        return run;
    },
    "an agent's ledger is read after its graceful shutdown": seed => {
        const run = new MatrixRun(seed);
        runUntilStarted(run);
        run.deployment.agents[run.agentIndex]?.stop();
        run.advanceUntil(() => run.deployment.agents[run.agentIndex]?.state === "stopped");
        run.deployment.entries[0]?.crash();
        run.deployment.entries[0]?.start();
        return run;
    },
    "every entry is replaced while tasks run": seed => {
        const run = new MatrixRun(seed);
        runUntilStarted(run);
        for (const entry of run.deployment.entries) {
            entry.crash();
            entry.start();
        }
        return run;
    },
    "every agent is replaced while tasks run": seed => {
        const run = new MatrixRun(seed);
        runUntilStarted(run);
        for (const agent of run.deployment.agents.slice(0, spareAgentIndex)) {
            agent.crash();
            agent.start();
        }
        return run;
    },
    "a refused start arrives again after its task was placed elsewhere": seed => {
        const run = new MatrixRun(seed);
        for (let position = 0; position < contendingJobCount; position += 1) {
            run.submitOtherJob(createMatrixJob({ milliseconds: 100 + 10 * position }), position % 2);
        }
        const repeated = { ...healthyLink, copies: 4, copyGapMilliseconds: 230, jitterMilliseconds: 40 };
        run.deployment.network.setFaultEverywhere(repeated);
        run.submitJob();
        run.deployment.advance(pastWindowMilliseconds);
        run.deployment.network.setFaultEverywhere(undefined);
        return run;
    },
    "an owner entry frozen past the resubmission window resends its start": seed => {
        const run = createShortWindowRun(seed);
        run.job = createMatrixJob({ deadlineMilliseconds: 60_000 });
        setReportLinkFault(run, { ...healthyLink, lossShare: 1 });
        runUntilStarted(run);
        run.deployment.advance(beforeResendMilliseconds);
        run.deployment.entries[0]?.freezeBetweenTickAndOutputs();
        runTraffic(run, pastWindowMilliseconds + shortWindowMilliseconds);
        setReportLinkFault(run, undefined);
        run.deployment.entries[0]?.resume();
        return run;
    },
    "a start is not sent until a narrower manifest is in force": seed => {
        const run = new MatrixRun(seed);
        run.job = createMatrixJob({ tasks: 6, deadlineMilliseconds: 60_000 });
        // Submitted without a retrying caller, whose resubmission at another entry would seal the submission.
        run.deployment.submit(0, run.job);
        freezeOwnerOnArrival(run);
        run.deployment.applyManifest(createMatrixManifest([matrixZones[1]]), 1, "operator-1", () => undefined);
        run.deployment.advance(7000);
        run.deployment.entries[0]?.resume();
        return run;
    },
    "a start is in transit until a narrower manifest is in force": seed => {
        const run = new MatrixRun(seed);
        run.job = createMatrixJob({ tasks: 6, deadlineMilliseconds: 60_000 });
        submitWithDelayedStarts(run, 7000);
        run.deployment.applyManifest(createMatrixManifest([matrixZones[1]]), 1, "operator-1", () => undefined);
        run.deployment.advance(7500);
        return run;
    },
    "a start arrives while its agent is draining": seed => {
        const run = new MatrixRun(seed);
        run.job = createMatrixJob({ tasks: 6, deadlineMilliseconds: 60_000 });
        submitWithDelayedStarts(run, 1500);
        for (const agent of run.deployment.agents.slice(0, spareAgentIndex)) {
            agent.drainBackendServer();
        }
        run.deployment.advance(4000);
        for (const agent of run.deployment.agents.slice(0, spareAgentIndex)) {
            agent.backendServer.restart();
        }
        return run;
    },
    "an older manifest arrives after a newer one": seed => {
        const run = new MatrixRun(seed);
        for (const version of [1, 2, 3]) {
            run.deployment.applyManifest(createMatrixManifest(), version, "operator-1", () => undefined);
            run.deployment.advance(2100);
            run.deployment.network.setFaultEverywhere({ ...healthyLink, copies: 3, copyGapMilliseconds: 2500 });
            run.submitOtherJob(createMatrixJob(), 0);
        }
        run.deployment.network.setFaultEverywhere(undefined);
        run.deployment.platform.replayManifestReads();
        run.submitJob();
        run.deployment.advance(pastWindowMilliseconds);
        return run;
    },
    "a task fails and the others are dropped": seed => {
        const run = new MatrixRun(seed);
        const tasks = run.job.tasks.map((task, index) => ({
            ...task,
            payload: { ...task.payload as { readonly echo: string }, fail: index === 1 },
        }));
        run.job = { ...run.job, tasks };
        run.submitJob();
        return run;
    },
    "the platform is down from the submission on": seed => {
        const run = new MatrixRun(seed);
        run.deployment.platform.setFault("down");
        run.submitJob();
        run.submitOtherJob(createMatrixJob(), 1);
        run.deployment.applyManifest(createMatrixManifest(), 1, "operator-1", () => undefined);
        run.deployment.advance(pastWindowMilliseconds);
        run.deployment.platform.setFault("none");
        return run;
    },
};
