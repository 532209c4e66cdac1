/**
 * Random sequences of what callers, operators and faults do to a deployment.
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

/** One thing that happens, some time after the one before it. */
export interface InterleavingEvent {
    readonly action: typeof actions[number];
    /** Chooses the process, job or link. */
    readonly target: number;
    readonly gapMilliseconds: number;
    readonly durationMilliseconds: number;
}

const longestGap = 300;
const longestDuration = 3000;
const mostTargets = 12;
const mostEvents = 25;
const firstJobs = 3;
const startedAgents = 3;
const revivals = 60;
const revivalGap = 500;

/** Sequences that fast-check draws and shrinks. */
export const interleavings = fc.array(
    fc.record<InterleavingEvent>({
        action: fc.constantFrom(...actions),
        target: fc.nat(mostTargets - 1),
        gapMilliseconds: fc.nat(longestGap),
        durationMilliseconds: fc.integer({ min: 1, max: longestDuration }),
    }),
    { minLength: 1, maxLength: mostEvents },
);

/**
 * Runs a sequence, heals everything and lets it settle.
 *
 * @param seed - seed of everything random in the deployment
 * @param events - the sequence
 * @returns the run, to be judged
 */
export function runInterleaving(seed: number, events: readonly InterleavingEvent[]): MatrixRun {
    const run = new MatrixRun(seed);
    run.heldBackMilliseconds = Number.POSITIVE_INFINITY;
    run.submitJob();
    for (let position = 0; position < firstJobs; position += 1) {
        run.submitOther(createMatrixJob(), position % 2);
    }
    for (const event of events) {
        run.deployment.advance(event.gapMilliseconds);
        perform(run, event);
    }
    run.deployment.advance(longestDuration);
    for (const host of [...run.deployment.entries, ...run.deployment.agents]) {
        host.resume();
    }
    keepStarted(run, revivals);
    run.settle();
    return run;
}

/** Starts whatever has stopped, again and again, for a planned stop may end late. */
function keepStarted(run: MatrixRun, times: number): void {
    for (const host of [...run.deployment.entries, ...run.deployment.agents.slice(0, startedAgents)]) {
        host.start();
    }
    if (times > 0) {
        const at = run.deployment.clock.nowMilliseconds() + revivalGap;
        run.deployment.queue.schedule(at, () => keepStarted(run, times - 1), undefined);
    }
}

function perform(run: MatrixRun, event: InterleavingEvent): void {
    const handlers = { ...callerActions, ...processActions, ...linkActions, ...platformActions };
    handlers[event.action](run, event);
}

type Action = (run: MatrixRun, event: InterleavingEvent) => void;

function later(run: MatrixRun, event: InterleavingEvent, action: () => void): void {
    const at = run.deployment.clock.nowMilliseconds() + event.durationMilliseconds;
    run.deployment.queue.schedule(at, action, undefined);
}

function entryOf(run: MatrixRun, event: InterleavingEvent): MatrixRun["deployment"]["entries"][number] {
    const { entries } = run.deployment;
    return entries[event.target % entries.length] as MatrixRun["deployment"]["entries"][number];
}

function agentOf(run: MatrixRun, event: InterleavingEvent): MatrixRun["deployment"]["agents"][number] {
    const { agents } = run.deployment;
    return agents[event.target % agents.length] as MatrixRun["deployment"]["agents"][number];
}

function faultLink(run: MatrixRun, event: InterleavingEvent, fault: Partial<LinkFault>): void {
    const { network } = run.deployment;
    const entry = entryOf(run, event).address;
    const agent = run.deployment.agents[event.target % 3]?.address ?? "";
    const [from, to] = event.target % 2 === 0 ? [entry, agent] : [agent, entry];
    network.setFault(from, to, { ...healthyLink, ...fault });
    later(run, event, () => network.setFault(from, to, undefined));
}

const callerActions = {
    submit: (run, event) => void run.submitOther(createMatrixJob({ tasks: 1 + event.target % 4 }), event.target % 2),
    submitWithKey: (run, event) => void run.submitOther(createMatrixJob(), event.target % 2, `key ${event.target}`),
    resubmit: (run, event) => run.resubmitAny(event.target),
    cancel: (run, event) => run.cancelAny(event.target),
} satisfies { readonly [name: string]: Action };

const processActions = {
    killEntry: (run, event) => {
        const entry = entryOf(run, event);
        entry.crash();
        later(run, event, () => entry.start());
    },
    killAgent: (run, event) => {
        const agent = agentOf(run, event);
        agent.crash();
        later(run, event, () => agent.start());
    },
    killBackendServer: (run, event) => {
        const { backendServer } = agentOf(run, event);
        backendServer.crash();
        later(run, event, () => backendServer.restart());
    },
    freezeEntry: (run, event) => {
        const entry = entryOf(run, event);
        entry.freeze();
        later(run, event, () => entry.resume());
    },
    freezeEntryBeforeSending: (run, event) => {
        const entry = entryOf(run, event);
        entry.freezeBetweenTickAndOutputs();
        later(run, event, () => entry.resume());
    },
    freezeAgent: (run, event) => {
        const agent = agentOf(run, event);
        agent.freeze();
        later(run, event, () => agent.resume());
    },
    freezeAgentBeforeSending: (run, event) => {
        const agent = agentOf(run, event);
        agent.freezeBetweenTickAndOutputs();
        later(run, event, () => agent.resume());
    },
    leaveBackendServer: (run, event) => {
        const agent = agentOf(run, event);
        agent.drainBackendServer();
        later(run, event, () => agent.backendServer.restart());
    },
    stopAgent: (run, event) => agentOf(run, event).stop(),
    stopEntry: (run, event) => entryOf(run, event).stop(),
    startSpareAgent: run => run.deployment.agents[3]?.start(),
    failEverything: (run, event) => {
        const { backendServer } = agentOf(run, event);
        backendServer.failsEverything = true;
        later(run, event, () => {
            backendServer.failsEverything = false;
        });
    },
} satisfies { readonly [name: string]: Action };

const linkActions = {
    loseLink: (run, event) => faultLink(run, event, { lossShare: 1 }),
    delayLink: (run, event) => faultLink(run, event, { extraMilliseconds: event.durationMilliseconds }),
    doubleLink: (run, event) => faultLink(run, event, { copies: 3, copyGapMilliseconds: event.durationMilliseconds }),
    reorderLinks: (run, event) => {
        run.deployment.network.setFaultEverywhere({ ...healthyLink, jitterMilliseconds: event.durationMilliseconds });
        later(run, event, () => run.deployment.network.setFaultEverywhere(undefined));
    },
    silenceBackendServer: (run, event) => {
        const { backendServer } = agentOf(run, event);
        backendServer.isLinkSilent = true;
        later(run, event, () => {
            backendServer.isLinkSilent = false;
        });
    },
    silenceCallers: (run, event) => {
        const index = event.target % 2;
        run.deployment.callers.setSilent(index, true);
        later(run, event, () => run.deployment.callers.setSilent(index, false));
    },
} satisfies { readonly [name: string]: Action };

function faultPlatform(run: MatrixRun, event: InterleavingEvent, fault: "down" | "slow" | "answersLost"): void {
    run.deployment.platform.setFault(fault);
    later(run, event, () => run.deployment.platform.setFault("none"));
}

const platformActions = {
    platformDown: (run, event) => faultPlatform(run, event, "down"),
    platformSlow: (run, event) => faultPlatform(run, event, "slow"),
    platformAnswersLost: (run, event) => faultPlatform(run, event, "answersLost"),
    applyManifest: (run, event) => {
        const zones = event.target % 3 === 0 ? [matrixZones[0]] : matrixZones;
        const baseVersion = run.deployment.platform.manifest?.version ?? 0;
        const operator = `operator-${event.target}`;
        run.deployment.applyManifest(createMatrixManifest(zones), baseVersion, operator, () => undefined);
    },
} satisfies { readonly [name: string]: Action };
