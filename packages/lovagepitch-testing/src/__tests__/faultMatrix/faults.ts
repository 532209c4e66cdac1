/**
 * Faults that strike a run of the matrix. Each heals by itself, so that everything can settle.
 */
import { defaultLinkLimits } from "@lovagepitch/links/linkLimits";
import { healthyLink, type LinkFault } from "../../harness/network.js";
import { createMatrixJob, createMatrixManifest } from "./matrixJobs.js";
import type { MatrixRun } from "./matrixRun.js";

/** Time in which a silent connection is replaced by a new one, on which everything unacknowledged is sent again. */
const reconnection = defaultLinkLimits.acknowledgementTimeoutMilliseconds + 50;
const shortSilence = 400;
const shortOutage = 1000;
const pause = 3000;
const longOutage = 4000;
const burstJobs = 24;

/** Strikes a run; `after` schedules what heals it. */
export interface MatrixFault {
    readonly strike: (run: MatrixRun) => void;
    /** Time for which messages or processes may be held back, in milliseconds. */
    readonly heldBackMilliseconds: number;
    /** The job must still be completed, unless the step itself ends it. */
    readonly mustComplete: boolean;
}

function after(run: MatrixRun, milliseconds: number, action: () => void): void {
    run.deployment.queue.schedule(run.deployment.clock.nowMilliseconds() + milliseconds, action, undefined);
}

function struckEntry(run: MatrixRun): MatrixRun["deployment"]["entries"][number] {
    return run.deployment.entries[0] as MatrixRun["deployment"]["entries"][number];
}

function struckAgent(run: MatrixRun): MatrixRun["deployment"]["agents"][number] {
    return run.deployment.agents[run.agentIndex] as MatrixRun["deployment"]["agents"][number];
}

function killEntry(run: MatrixRun): void {
    const entry = struckEntry(run);
    entry.crash();
    after(run, shortOutage, () => {
        if (entry.state === "stopped") {
            entry.start();
        }
    });
}

function killAgent(run: MatrixRun): void {
    const agent = struckAgent(run);
    agent.crash();
    after(run, shortOutage, () => {
        if (agent.state === "stopped") {
            agent.start();
        }
    });
}

function faultEveryLink(run: MatrixRun, fault: Partial<LinkFault>, milliseconds: number): void {
    run.deployment.network.setFaultEverywhere({ ...healthyLink, ...fault });
    after(run, milliseconds, () => run.deployment.network.setFaultEverywhere(undefined));
}

function silence(
    run: MatrixRun,
    pairs: readonly (readonly [string, string])[],
    milliseconds = shortOutage,
): void {
    for (const [from, to] of pairs) {
        run.deployment.network.setFault(from, to, { ...healthyLink, lossShare: 1 });
        after(run, milliseconds, () => run.deployment.network.setFault(from, to, undefined));
    }
}

function holdLinks(run: MatrixRun, pairs: readonly (readonly [string, string])[], milliseconds: number): void {
    const heldUntilMilliseconds = run.deployment.clock.nowMilliseconds() + milliseconds;
    for (const [from, to] of pairs) {
        run.deployment.network.setFault(from, to, { ...healthyLink, heldUntilMilliseconds });
        after(run, milliseconds, () => run.deployment.network.setFault(from, to, undefined));
    }
}

function entryAgentPairs(run: MatrixRun): readonly (readonly [string, string])[] {
    const { entries, agents } = run.deployment;
    return agents.map(agent => [struckEntryAddress(entries), agent.address] as const);
}

function entryPairs(run: MatrixRun): readonly (readonly [string, string])[] {
    const [first, second] = run.deployment.entries.map(entry => entry.address) as [string, string];
    return [[first, second], [second, first]];
}

function struckEntryAddress(entries: MatrixRun["deployment"]["entries"]): string {
    return entries[0]?.address ?? "";
}

function faultPlatform(run: MatrixRun, fault: "down" | "slow" | "answersLost"): void {
    run.deployment.platform.setFault(fault);
    after(run, longOutage, () => run.deployment.platform.setFault("none"));
}

function resubmitElsewhere(run: MatrixRun): void {
    const { caller, deployment, job } = run;
    if (caller?.submission !== undefined) {
        deployment.submit(1, job, caller.submission);
        deployment.submit(0, job, caller.submission);
    }
}

function cancelWave(run: MatrixRun): void {
    const { callers } = run.deployment;
    for (let position = 0; position < burstJobs; position += 1) {
        const caller = run.submitOther(createMatrixJob(), position % 2);
        after(run, 30, () => {
            if (caller.submission !== undefined) {
                callers.sendOperation(position % 2, "cancel", caller.submission);
            }
        });
    }
}

function twoOperators(run: MatrixRun): void {
    const { deployment } = run;
    const baseVersion = deployment.platform.manifest?.version ?? 0;
    for (const operator of ["operator-1", "operator-2"]) {
        deployment.applyManifest(createMatrixManifest(), baseVersion, operator, () => undefined);
    }
}

function submitImpossible(run: MatrixRun): void {
    run.submitOther(createMatrixJob({ kind: "nowhere" }), 0);
    run.submitOther(createMatrixJob({ kind: "unheard-of" }), 0);
    run.submitOther(createMatrixJob({ cores: 17 }), 1);
}

function submitBurst(run: MatrixRun): void {
    for (let position = 0; position < burstJobs; position += 1) {
        run.submitOther(createMatrixJob({ tasks: 2, milliseconds: 60 }), position % 2);
    }
}

function define(
    strike: (run: MatrixRun) => void,
    options: Partial<Omit<MatrixFault, "strike">> = {},
): MatrixFault {
    return { strike, heldBackMilliseconds: 0, mustComplete: false, ...options };
}

const completes = { mustComplete: true };

/** The faults by name. */
export const matrixFaults: { readonly [name: string]: MatrixFault } = {
    "entry killed": define(killEntry),
    "agent killed": define(killAgent),
    "backend server killed": define(run => {
        const { backendServer } = struckAgent(run);
        backendServer.crash();
        after(run, shortOutage, () => backendServer.restart());
    }),
    "rack lost": define(run => {
        killEntry(run);
        killAgent(run);
    }),
    "entry frozen and resumed": define(run => {
        const entry = struckEntry(run);
        entry.freeze();
        after(run, pause, () => entry.resume());
    }, { heldBackMilliseconds: pause }),
    "entry frozen before it sends": define(run => {
        const entry = struckEntry(run);
        entry.freezeBetweenTickAndOutputs();
        after(run, pause, () => entry.resume());
    }, { heldBackMilliseconds: pause }),
    "agent frozen and resumed": define(run => {
        const agent = struckAgent(run);
        agent.freeze();
        after(run, pause, () => agent.resume());
    }, { heldBackMilliseconds: pause }),
    "agent frozen before it sends": define(run => {
        const agent = struckAgent(run);
        agent.freezeBetweenTickAndOutputs();
        after(run, pause, () => agent.resume());
    }, { heldBackMilliseconds: pause }),
    "caller and entry silent": define(run => {
        run.deployment.callers.setSilent(0, true);
        after(run, longOutage, () => run.deployment.callers.setSilent(0, false));
    }, { heldBackMilliseconds: longOutage, mustComplete: true }),
    "connection of two entries silent": define(run => {
        holdLinks(run, entryPairs(run), reconnection);
        resubmitElsewhere(run);
    }, completes),
    "entry and entry silent": define(run => {
        silence(run, entryPairs(run), shortSilence);
        resubmitElsewhere(run);
    }, { heldBackMilliseconds: shortSilence }),
    "entries cut off from each other": define(run => {
        silence(run, entryPairs(run));
        resubmitElsewhere(run);
    }, { heldBackMilliseconds: shortOutage }),
    "entry and agents silent": define(run => {
        const pairs = entryAgentPairs(run);
        silence(run, [...pairs, ...pairs.map(([from, to]) => [to, from] as const)]);
    }, { heldBackMilliseconds: shortOutage, mustComplete: true }),
    "agents cannot reach entry": define(run => {
        silence(run, entryAgentPairs(run).map(([from, to]) => [to, from] as const));
    }, { heldBackMilliseconds: shortOutage, mustComplete: true }),
    "entry cannot reach agents": define(run => {
        silence(run, entryAgentPairs(run));
    }, { heldBackMilliseconds: shortOutage, mustComplete: true }),
    "agent and backend server silent": define(run => {
        const { backendServer } = struckAgent(run);
        backendServer.isLinkSilent = true;
        after(run, shortOutage, () => {
            backendServer.isLinkSilent = false;
        });
    }),
    "platform down": define(run => faultPlatform(run, "down")),
    "platform slow": define(run => faultPlatform(run, "slow")),
    "platform answers lost": define(run => faultPlatform(run, "answersLost")),
    "two operators at once": define(twoOperators, completes),
    "same submission at two entries": define(resubmitElsewhere, completes),
    "late messages": define(
        run => faultEveryLink(run, { extraMilliseconds: 700 }, shortOutage),
        { heldBackMilliseconds: 2 * shortOutage, mustComplete: true },
    ),
    "doubled messages": define(run => faultEveryLink(run, { copies: 3 }, longOutage), completes),
    "reordered messages": define(
        run => faultEveryLink(run, { jitterMilliseconds: 300 }, longOutage),
        { heldBackMilliseconds: shortOutage, mustComplete: true },
    ),
    "doubled and very late messages": define(
        run => faultEveryLink(run, { copies: 3, jitterMilliseconds: 3000 }, longOutage),
        { heldBackMilliseconds: longOutage },
    ),
    "half of the messages lost": define(
        run => faultEveryLink(run, { lossShare: 0.5 }, shortOutage),
        { heldBackMilliseconds: shortOutage, mustComplete: true },
    ),
    "cancellation wave": define(cancelWave, completes),
    "burst": define(submitBurst, completes),
    "backend server fails everything": define(run => {
        const { backendServer } = struckAgent(run);
        backendServer.failsEverything = true;
        after(run, longOutage, () => {
            backendServer.failsEverything = false;
        });
    }),
    "stragglers": define(run => {
        for (const entry of [0, 1]) {
            run.submitOther(createMatrixJob({ milliseconds: 4000, expectedMilliseconds: 100 }), entry);
        }
    }, completes),
    "declared times far off": define(run => {
        run.submitOther(createMatrixJob({ milliseconds: 10, expectedMilliseconds: 60_000 }), 0);
        run.submitOther(createMatrixJob({ milliseconds: 2000, expectedMilliseconds: 1 }), 1);
    }, completes),
    "jobs that can never run": define(submitImpossible, completes),
    "agent registers during a sweep": define(run => {
        killEntry(run);
        after(run, 60, () => run.deployment.agents[3]?.start());
    }),
    "agent registers while the entry is paused": define(run => {
        const entry = struckEntry(run);
        entry.freezeBetweenTickAndOutputs();
        after(run, 60, () => run.deployment.agents[3]?.start());
        after(run, pause, () => entry.resume());
    }, { heldBackMilliseconds: pause }),
    "backend server leaves": define(run => {
        const agent = struckAgent(run);
        agent.drainBackendServer();
        after(run, longOutage, () => agent.backendServer.restart());
    }, completes),
    "planned stop of the agent": define(run => struckAgent(run).stop(), completes),
    "planned stop of the entry": define(run => struckEntry(run).stop(), completes),
};
