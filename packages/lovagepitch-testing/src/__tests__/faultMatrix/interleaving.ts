/**
 * Random sequences of callers' requests, operators' changes and faults in a deployment.
 */
import fc from "fast-check";
import { healthyLink, type LinkFault } from "../../harness/network.js";
import { createMatrixJob, createMatrixManifest, matrixZones } from "./matrixJobs.js";
import { MatrixRun } from "./matrixRun.js";

const actions = [
    "submit",
    "submitWithKey",
    "resubmit",
    "cancel",
    "killEntry",
    "killAgent",
    "killBackendServer",
    "freezeEntry",
    "freezeEntryBeforeSending",
    "freezeAgent",
    "freezeAgentBeforeSending",
    "loseLink",
    "delayLink",
    "doubleLink",
    "reorderLinks",
    "silenceBackendServer",
    "silenceCallers",
    "platformDown",
    "platformSlow",
    "platformAnswersLost",
    "applyManifest",
    "leaveBackendServer",
    "stopAgent",
    "stopEntry",
    "startSpareAgent",
    "failEverything",
] as const;

/** One action of a sequence. */
export interface InterleavingEvent {
    readonly action: typeof actions[number];
    /** Number that selects the process, job or link. */
    readonly target: number;
    /** Time since the action before it. */
    readonly gapMilliseconds: number;
    /** Time after which the action is undone, where it can be. */
    readonly durationMilliseconds: number;
}

const maximumGapMilliseconds = 300;
const maximumDurationMilliseconds = 3000;
const targetCount = 12;
const maximumEventCount = 25;
const initialJobCount = 3;
const startedAgentCount = 3;
const restartAttemptCount = 60;
const restartIntervalMilliseconds = 500;

/** Sequences that fast-check generates and shrinks. */
export const interleavingArbitrary = fc.array(
    fc.record<InterleavingEvent>({
        action: fc.constantFrom(...actions),
        target: fc.nat(targetCount - 1),
        gapMilliseconds: fc.nat(maximumGapMilliseconds),
        durationMilliseconds: fc.integer({ min: 1, max: maximumDurationMilliseconds }),
    }),
    { minLength: 1, maxLength: maximumEventCount },
);

/**
 * Runs a sequence, ends all faults and lets the deployment settle.
 *
 * @param seed - seed of the deployment's random source
 * @param events - actions to perform, in order
 * @returns the settled run, ready to be checked
 */
export function runInterleaving(seed: number, events: readonly InterleavingEvent[]): MatrixRun {
    const run = new MatrixRun(seed);
    run.maximumDelayMilliseconds = Number.POSITIVE_INFINITY;
    run.submitJob();
    for (let position = 0; position < initialJobCount; position += 1) {
        run.submitOtherJob(createMatrixJob(), position % 2);
    }
    for (const event of events) {
        run.deployment.advance(event.gapMilliseconds);
        performEvent(run, event);
    }
    run.deployment.advance(maximumDurationMilliseconds);
    for (const host of [...run.deployment.entries, ...run.deployment.agents]) {
        host.resume();
    }
    startStoppedProcesses(run, restartAttemptCount);
    run.settle();
    return run;
}

/** Starts every stopped process, repeatedly, because a graceful shutdown may end late. */
function startStoppedProcesses(run: MatrixRun, remainingAttempts: number): void {
    for (const host of [...run.deployment.entries, ...run.deployment.agents.slice(0, startedAgentCount)]) {
        host.start();
    }
    if (remainingAttempts > 0) {
        const at = run.deployment.clock.nowMilliseconds() + restartIntervalMilliseconds;
        run.deployment.queue.schedule(at, () => startStoppedProcesses(run, remainingAttempts - 1), undefined);
    }
}

function performEvent(run: MatrixRun, event: InterleavingEvent): void {
    const handlers = { ...callerActions, ...processActions, ...linkActions, ...platformActions };
    handlers[event.action](run, event);
}

type Action = (run: MatrixRun, event: InterleavingEvent) => void;

function scheduleAfterDuration(run: MatrixRun, event: InterleavingEvent, action: () => void): void {
    const at = run.deployment.clock.nowMilliseconds() + event.durationMilliseconds;
    run.deployment.queue.schedule(at, action, undefined);
}

function getEntry(run: MatrixRun, event: InterleavingEvent): MatrixRun["deployment"]["entries"][number] {
    const { entries } = run.deployment;
    return entries[event.target % entries.length] as MatrixRun["deployment"]["entries"][number];
}

function getAgent(run: MatrixRun, event: InterleavingEvent): MatrixRun["deployment"]["agents"][number] {
    const { agents } = run.deployment;
    return agents[event.target % agents.length] as MatrixRun["deployment"]["agents"][number];
}

function setLinkFault(run: MatrixRun, event: InterleavingEvent, fault: Partial<LinkFault>): void {
    const { network } = run.deployment;
    const entry = getEntry(run, event).address;
    const agent = run.deployment.agents[event.target % 3]?.address ?? "";
    const [from, to] = event.target % 2 === 0 ? [entry, agent] : [agent, entry];
    network.setFault(from, to, { ...healthyLink, ...fault });
    scheduleAfterDuration(run, event, () => network.setFault(from, to, undefined));
}

const callerActions = {
    submit: (run, event) => void run.submitOtherJob(createMatrixJob({ tasks: 1 + event.target % 4 }), event.target % 2),
    submitWithKey: (run, event) => void run.submitOtherJob(createMatrixJob(), event.target % 2, `key ${event.target}`),
    resubmit: (run, event) => run.resubmitOtherJob(event.target),
    cancel: (run, event) => run.cancelOtherJob(event.target),
} satisfies { readonly [name: string]: Action };

const processActions = {
    killEntry: (run, event) => {
        const entry = getEntry(run, event);
        entry.crash();
        scheduleAfterDuration(run, event, () => entry.start());
    },
    killAgent: (run, event) => {
        const agent = getAgent(run, event);
        agent.crash();
        scheduleAfterDuration(run, event, () => agent.start());
    },
    killBackendServer: (run, event) => {
        const { backendServer } = getAgent(run, event);
        backendServer.crash();
        scheduleAfterDuration(run, event, () => backendServer.restart());
    },
    freezeEntry: (run, event) => {
        const entry = getEntry(run, event);
        entry.freeze();
        scheduleAfterDuration(run, event, () => entry.resume());
    },
    freezeEntryBeforeSending: (run, event) => {
        const entry = getEntry(run, event);
        entry.freezeBetweenTickAndOutputs();
        scheduleAfterDuration(run, event, () => entry.resume());
    },
    freezeAgent: (run, event) => {
        const agent = getAgent(run, event);
        agent.freeze();
        scheduleAfterDuration(run, event, () => agent.resume());
    },
    freezeAgentBeforeSending: (run, event) => {
        const agent = getAgent(run, event);
        agent.freezeBetweenTickAndOutputs();
        scheduleAfterDuration(run, event, () => agent.resume());
    },
    leaveBackendServer: (run, event) => {
        const agent = getAgent(run, event);
        agent.drainBackendServer();
        scheduleAfterDuration(run, event, () => agent.backendServer.restart());
    },
    stopAgent: (run, event) => getAgent(run, event).stop(),
    stopEntry: (run, event) => getEntry(run, event).stop(),
    startSpareAgent: run => run.deployment.agents[3]?.start(),
    failEverything: (run, event) => {
        const { backendServer } = getAgent(run, event);
        backendServer.failsEverything = true;
        scheduleAfterDuration(run, event, () => {
            backendServer.failsEverything = false;
        });
    },
} satisfies { readonly [name: string]: Action };

const linkActions = {
    loseLink: (run, event) => setLinkFault(run, event, { lossShare: 1 }),
    delayLink: (run, event) => setLinkFault(run, event, { extraMilliseconds: event.durationMilliseconds }),
    doubleLink: (run, event) =>
        setLinkFault(run, event, { copies: 3, copyGapMilliseconds: event.durationMilliseconds }),
    reorderLinks: (run, event) => {
        run.deployment.network.setFaultEverywhere({ ...healthyLink, jitterMilliseconds: event.durationMilliseconds });
        scheduleAfterDuration(run, event, () => run.deployment.network.setFaultEverywhere(undefined));
    },
    silenceBackendServer: (run, event) => {
        const { backendServer } = getAgent(run, event);
        backendServer.isLinkSilent = true;
        scheduleAfterDuration(run, event, () => {
            backendServer.isLinkSilent = false;
        });
    },
    silenceCallers: (run, event) => {
        const index = event.target % 2;
        run.deployment.callers.setSilent(index, true);
        scheduleAfterDuration(run, event, () => run.deployment.callers.setSilent(index, false));
    },
} satisfies { readonly [name: string]: Action };

function setPlatformFault(run: MatrixRun, event: InterleavingEvent, fault: "down" | "slow" | "answersLost"): void {
    run.deployment.platform.setFault(fault);
    scheduleAfterDuration(run, event, () => run.deployment.platform.setFault("none"));
}

const platformActions = {
    platformDown: (run, event) => setPlatformFault(run, event, "down"),
    platformSlow: (run, event) => setPlatformFault(run, event, "slow"),
    platformAnswersLost: (run, event) => setPlatformFault(run, event, "answersLost"),
    applyManifest: (run, event) => {
        const zones = event.target % 3 === 0 ? [matrixZones[0]] : matrixZones;
        const baseVersion = run.deployment.platform.manifest?.version ?? 0;
        const operator = `operator-${event.target}`;
        run.deployment.applyManifest(createMatrixManifest(zones), baseVersion, operator, () => undefined);
    },
} satisfies { readonly [name: string]: Action };
