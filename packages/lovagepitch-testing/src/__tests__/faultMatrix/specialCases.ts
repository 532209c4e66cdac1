/**
 * Cases of the fault matrix that need settings or an order of their own.
 */
import { healthyLink, type LinkFault } from "../../harness/network.js";
import { createMatrixJob, createMatrixManifest, matrixZones } from "./matrixJobs.js";
import { MatrixRun } from "./matrixRun.js";
import { fillAllSlots, runUntilStarted } from "./requestSteps.js";

const shortWindow = 4000;
const pastWindow = 3 * shortWindow;
const spareAgent = 3;
const contendingJobs = 12;
/** Time after a start at which the keeper has asked for it and not yet sent it again. */
const beforeResend = 250;

/** Sets a run up, strikes and heals; settling and judging follow. */
export type SpecialCase = (seed: number) => MatrixRun;

function faultStarts(run: MatrixRun, fault: Partial<LinkFault>): void {
    const [entry] = run.deployment.entries;
    for (const agent of run.deployment.agents) {
        run.deployment.network.setFault(entry?.address ?? "", agent.address, { ...healthyLink, ...fault });
    }
}

function cutFromKeeper(run: MatrixRun, fault: LinkFault | undefined): void {
    const [keeper, other] = run.deployment.entries;
    const others = [other, ...run.deployment.agents.slice(0, spareAgent)];
    for (const host of others) {
        run.deployment.network.setFault(keeper?.address ?? "", host?.address ?? "", fault);
        run.deployment.network.setFault(host?.address ?? "", keeper?.address ?? "", fault);
    }
}

function faultReports(run: MatrixRun, fault: LinkFault | undefined): void {
    const [entry] = run.deployment.entries;
    for (const agent of run.deployment.agents) {
        run.deployment.network.setFault(agent.address, entry?.address ?? "", fault);
    }
}

function healStarts(run: MatrixRun): void {
    const [entry] = run.deployment.entries;
    for (const agent of run.deployment.agents) {
        run.deployment.network.setFault(entry?.address ?? "", agent.address, undefined);
    }
}

function submitLate(run: MatrixRun, extraMilliseconds: number): void {
    faultStarts(run, { extraMilliseconds });
    run.submitJob();
    run.reach(() => run.events.startSent);
    run.deployment.advance(1);
    healStarts(run);
}

function keepBusy(run: MatrixRun, milliseconds: number): void {
    const step = 500;
    for (let passed = 0; passed < milliseconds; passed += step) {
        run.submitOther(createMatrixJob({ tasks: 2, milliseconds: 50 }), 1);
        run.deployment.advance(step);
    }
}

function withShortWindow(seed: number): MatrixRun {
    return new MatrixRun(seed, { resubmissionWindowMilliseconds: shortWindow });
}

function pauseBeforeStart(run: MatrixRun): void {
    run.submitJob();
    pauseOnArrival(run);
}

function pauseOnArrival(run: MatrixRun): void {
    run.reach(() => run.events.jobArrived);
    run.deployment.entries[0]?.freezeBetweenTickAndOutputs();
    run.deployment.advance(1);
}

function sweepElsewhere(run: MatrixRun): void {
    const submission = run.caller?.submission;
    if (submission !== undefined) {
        run.deployment.submit(1, run.job, submission);
    }
    run.deployment.advance(1500);
}

/** The cases by name. */
export const specialCases: { readonly [name: string]: SpecialCase } = {
    "a doubled start arrives after the ledger's window": seed => {
        const run = withShortWindow(seed);
        faultStarts(run, { copies: 2, copyGapMilliseconds: pastWindow });
        run.submitJob();
        run.reach(() => run.caller?.result !== undefined);
        healStarts(run);
        keepBusy(run, pastWindow + shortWindow);
        return run;
    },
    "a start arrives after the window and the deadline": seed => {
        const run = withShortWindow(seed);
        run.job = createMatrixJob({ deadlineMilliseconds: 2000 });
        submitLate(run, pastWindow);
        keepBusy(run, pastWindow + shortWindow);
        return run;
    },
    "a start arrives after a sweep said not run": seed => {
        const run = new MatrixRun(seed);
        submitLate(run, 2500);
        run.deployment.entries[0]?.crash();
        sweepElsewhere(run);
        run.deployment.entries[0]?.start();
        return run;
    },
    "a start arrives after a sweep and the window": seed => {
        const run = withShortWindow(seed);
        run.job = createMatrixJob({ deadlineMilliseconds: 30_000 });
        submitLate(run, pastWindow);
        run.deployment.entries[0]?.crash();
        sweepElsewhere(run);
        run.deployment.entries[0]?.start();
        keepBusy(run, pastWindow + shortWindow);
        return run;
    },
    "an id is used after its keeper was replaced": seed => {
        const run = new MatrixRun(seed);
        const caller = run.prepareCaller();
        caller.requestSubmissionId();
        run.reach(() => caller.submission !== undefined);
        run.deployment.entries[0]?.crash();
        run.deployment.entries[0]?.start();
        caller.start();
        return run;
    },
    "an id is used after it expired": seed => {
        const run = withShortWindow(seed);
        const caller = run.prepareCaller();
        caller.requestSubmissionId();
        run.reach(() => caller.submission !== undefined);
        keepBusy(run, pastWindow);
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
    "a paused keeper resumes after a sweep said not run": seed => {
        const run = new MatrixRun(seed);
        pauseBeforeStart(run);
        sweepElsewhere(run);
        run.deployment.entries[0]?.resume();
        return run;
    },
    "an agent registers after a sweep and the keeper resumes": seed => {
        const run = new MatrixRun(seed);
        pauseBeforeStart(run);
        sweepElsewhere(run);
        run.deployment.agents[spareAgent]?.start();
        run.deployment.advance(500);
        run.deployment.entries[0]?.resume();
        return run;
    },
    "an agent registers after a sweep that its keeper does not hear of": seed => {
        const run = new MatrixRun(seed);
        fillAllSlots(run);
        run.job = createMatrixJob({ deadlineMilliseconds: 20_000 });
        run.submitJob();
        run.reach(() => run.events.jobAdmitted);
        run.deployment.advance(1);
        cutFromKeeper(run, { ...healthyLink, lossShare: 1 });
        sweepElsewhere(run);
        run.deployment.agents[spareAgent]?.start();
        run.deployment.advance(shortWindow);
        cutFromKeeper(run, undefined);
        return run;
    },
    "the only worker of a job and its keeper are lost": seed => {
        const run = new MatrixRun(seed);
        run.job = createMatrixJob({ tasks: 1, milliseconds: 500 });
        runUntilStarted(run);
        const worker = run.deployment.starts.starts.at(-1)?.worker;
        const agent = run.deployment.agents.find(candidate => candidate.worker === worker);
        agent?.crash();
        run.deployment.entries[0]?.crash();
        sweepElsewhere(run);
        agent?.start();
        run.deployment.entries[0]?.start();
        return run;
    },
    "the only worker of a job is frozen and its keeper lost": seed => {
        const run = new MatrixRun(seed);
        run.job = createMatrixJob({ tasks: 1, milliseconds: 500 });
        runUntilStarted(run);
        const worker = run.deployment.starts.starts.at(-1)?.worker;
        const agent = run.deployment.agents.find(candidate => candidate.worker === worker);
        agent?.freeze();
        run.deployment.entries[0]?.crash();
        sweepElsewhere(run);
        agent?.resume();
        run.deployment.entries[0]?.start();
        return run;
    },
    "an agent restarts at its address while starts are late": seed => {
        const run = new MatrixRun(seed);
        submitLate(run, 300);
        for (const agent of run.deployment.agents.slice(0, spareAgent)) {
            agent.crash();
            agent.start();
        }
        return run;
    },
    "an answer is asked for at every entry after a planned stop": seed => {
        const run = new MatrixRun(seed);
        run.submitJob();
        run.reach(() => run.caller?.result !== undefined);
        run.deployment.entries[0]?.stop();
        run.reach(() => run.deployment.entries[0]?.state === "stopped");
        return run;
    },
    "an agent's ledger is read after its planned stop": seed => {
        const run = new MatrixRun(seed);
        runUntilStarted(run);
        run.deployment.agents[run.agentIndex]?.stop();
        run.reach(() => run.deployment.agents[run.agentIndex]?.state === "stopped");
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
        for (const agent of run.deployment.agents.slice(0, spareAgent)) {
            agent.crash();
            agent.start();
        }
        return run;
    },
    "a refused start arrives again after its task went elsewhere": seed => {
        const run = new MatrixRun(seed);
        for (let position = 0; position < contendingJobs; position += 1) {
            run.submitOther(createMatrixJob({ milliseconds: 100 + 10 * position }), position % 2);
        }
        const repeated = { ...healthyLink, copies: 4, copyGapMilliseconds: 230, jitterMilliseconds: 40 };
        run.deployment.network.setFaultEverywhere(repeated);
        run.submitJob();
        run.deployment.advance(pastWindow);
        run.deployment.network.setFaultEverywhere(undefined);
        return run;
    },
    "a keeper paused past the window sends its start again": seed => {
        const run = withShortWindow(seed);
        run.job = createMatrixJob({ deadlineMilliseconds: 60_000 });
        faultReports(run, { ...healthyLink, lossShare: 1 });
        runUntilStarted(run);
        run.deployment.advance(beforeResend);
        run.deployment.entries[0]?.freezeBetweenTickAndOutputs();
        keepBusy(run, pastWindow + shortWindow);
        faultReports(run, undefined);
        run.deployment.entries[0]?.resume();
        return run;
    },
    "a start is held back until a narrower manifest is in force": seed => {
        const run = new MatrixRun(seed);
        run.job = createMatrixJob({ tasks: 6, deadlineMilliseconds: 60_000 });
        // A caller that came back elsewhere would have the submission sealed.
        run.deployment.submit(0, run.job);
        pauseOnArrival(run);
        run.deployment.applyManifest(createMatrixManifest([matrixZones[1]]), 1, "operator-1", () => undefined);
        run.deployment.advance(7000);
        run.deployment.entries[0]?.resume();
        return run;
    },
    "a start is on its way until a narrower manifest is in force": seed => {
        const run = new MatrixRun(seed);
        run.job = createMatrixJob({ tasks: 6, deadlineMilliseconds: 60_000 });
        submitLate(run, 7000);
        run.deployment.applyManifest(createMatrixManifest([matrixZones[1]]), 1, "operator-1", () => undefined);
        run.deployment.advance(7500);
        return run;
    },
    "a start arrives while its agent is leaving": seed => {
        const run = new MatrixRun(seed);
        run.job = createMatrixJob({ tasks: 6, deadlineMilliseconds: 60_000 });
        submitLate(run, 1500);
        for (const agent of run.deployment.agents.slice(0, spareAgent)) {
            agent.drainBackendServer();
        }
        run.deployment.advance(4000);
        for (const agent of run.deployment.agents.slice(0, spareAgent)) {
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
            run.submitOther(createMatrixJob(), 0);
        }
        run.deployment.network.setFaultEverywhere(undefined);
        run.deployment.platform.replayManifestReads();
        run.submitJob();
        run.deployment.advance(pastWindow);
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
        run.submitOther(createMatrixJob(), 1);
        run.deployment.applyManifest(createMatrixManifest(), 1, "operator-1", () => undefined);
        run.deployment.advance(pastWindow);
        run.deployment.platform.setFault("none");
        return run;
    },
};
