/**
 * Faults that are injected into a run of the matrix. Each ends by itself, so that the deployment can settle.
 */
import { defaultLinkLimits } from "@lovagepitch/links/linkLimits";
import { healthyLink, type LinkFault } from "../../harness/network.js";
import { createMatrixJob, createMatrixManifest } from "./matrixJobs.js";
import type { MatrixRun } from "./matrixRun.js";

/** Time after which a silent connection has been replaced and its unacknowledged messages are sent again. */
const reconnectMilliseconds = defaultLinkLimits.acknowledgementTimeoutMilliseconds + 50;
const shortPartitionMilliseconds = 400;
const shortOutageMilliseconds = 1000;
const freezeMilliseconds = 3000;
const longOutageMilliseconds = 4000;
const burstJobCount = 24;

/** A fault of the matrix. */
export interface MatrixFault {
    /** Starts the fault and schedules its end. */
    readonly inject: (run: MatrixRun) => void;
    /** Longest time for which the fault may delay messages or freeze processes, in milliseconds. */
    readonly maximumDelayMilliseconds: number;
    /** Whether the job must complete despite the fault, unless the step itself ends the job. */
    readonly mustComplete: boolean;
}

function scheduleAfter(run: MatrixRun, milliseconds: number, action: () => void): void {
    run.deployment.queue.schedule(run.deployment.clock.nowMilliseconds() + milliseconds, action, undefined);
}

function getFaultyEntry(run: MatrixRun): MatrixRun["deployment"]["entries"][number] {
    return run.deployment.entries[0] as MatrixRun["deployment"]["entries"][number];
}

function getFaultyAgent(run: MatrixRun): MatrixRun["deployment"]["agents"][number] {
    return run.deployment.agents[run.agentIndex] as MatrixRun["deployment"]["agents"][number];
}

function killAndRestartEntry(run: MatrixRun): void {
    const entry = getFaultyEntry(run);
    entry.crash();
    scheduleAfter(run, shortOutageMilliseconds, () => {
        if (entry.state === "stopped") {
            entry.start();
        }
    });
}

function killAndRestartAgent(run: MatrixRun): void {
    const agent = getFaultyAgent(run);
    agent.crash();
    scheduleAfter(run, shortOutageMilliseconds, () => {
        if (agent.state === "stopped") {
            agent.start();
        }
    });
}

function setFaultOnEveryLink(run: MatrixRun, fault: Partial<LinkFault>, milliseconds: number): void {
    run.deployment.network.setFaultEverywhere({ ...healthyLink, ...fault });
    scheduleAfter(run, milliseconds, () => run.deployment.network.setFaultEverywhere(undefined));
}

function dropMessages(
    run: MatrixRun,
    pairs: readonly (readonly [string, string])[],
    milliseconds = shortOutageMilliseconds,
): void {
    for (const [from, to] of pairs) {
        run.deployment.network.setFault(from, to, { ...healthyLink, lossShare: 1 });
        scheduleAfter(run, milliseconds, () => run.deployment.network.setFault(from, to, undefined));
    }
}

function holdMessages(run: MatrixRun, pairs: readonly (readonly [string, string])[], milliseconds: number): void {
    const heldUntilMilliseconds = run.deployment.clock.nowMilliseconds() + milliseconds;
    for (const [from, to] of pairs) {
        run.deployment.network.setFault(from, to, { ...healthyLink, heldUntilMilliseconds });
        scheduleAfter(run, milliseconds, () => run.deployment.network.setFault(from, to, undefined));
    }
}

function listEntryAgentPairs(run: MatrixRun): readonly (readonly [string, string])[] {
    const { entries, agents } = run.deployment;
    return agents.map(agent => [getFaultyEntryAddress(entries), agent.address] as const);
}

function listEntryPairs(run: MatrixRun): readonly (readonly [string, string])[] {
    const [first, second] = run.deployment.entries.map(entry => entry.address) as [string, string];
    return [[first, second], [second, first]];
}

function getFaultyEntryAddress(entries: MatrixRun["deployment"]["entries"]): string {
    return entries[0]?.address ?? "";
}

function setPlatformFault(run: MatrixRun, fault: "down" | "slow" | "answersLost"): void {
    run.deployment.platform.setFault(fault);
    scheduleAfter(run, longOutageMilliseconds, () => run.deployment.platform.setFault("none"));
}

function resubmitAtBothEntries(run: MatrixRun): void {
    const { caller, deployment, job } = run;
    if (caller?.submission !== undefined) {
        deployment.submit(1, job, caller.submission);
        deployment.submit(0, job, caller.submission);
    }
}

function submitAndCancelBurst(run: MatrixRun): void {
    const { callers } = run.deployment;
    for (let position = 0; position < burstJobCount; position += 1) {
        const caller = run.submitOtherJob(createMatrixJob(), position % 2);
        scheduleAfter(run, 30, () => {
            if (caller.submission !== undefined) {
                callers.sendOperation(position % 2, "cancel", caller.submission);
            }
        });
    }
}

function applyConcurrentManifests(run: MatrixRun): void {
    const { deployment } = run;
    const baseVersion = deployment.platform.manifest?.version ?? 0;
    for (const operator of ["operator-1", "operator-2"]) {
        deployment.applyManifest(createMatrixManifest(), baseVersion, operator, () => undefined);
    }
}

function submitUnplaceableJobs(run: MatrixRun): void {
    run.submitOtherJob(createMatrixJob({ kind: "nowhere" }), 0);
    run.submitOtherJob(createMatrixJob({ kind: "unheard-of" }), 0);
    run.submitOtherJob(createMatrixJob({ cores: 17 }), 1);
}

function submitBurst(run: MatrixRun): void {
    for (let position = 0; position < burstJobCount; position += 1) {
        run.submitOtherJob(createMatrixJob({ tasks: 2, milliseconds: 60 }), position % 2);
    }
}

function createFault(
    inject: (run: MatrixRun) => void,
    options: Partial<Omit<MatrixFault, "inject">> = {},
): MatrixFault {
    return { inject, maximumDelayMilliseconds: 0, mustComplete: false, ...options };
}

const jobMustComplete = { mustComplete: true };

/** The faults, by the names that the features use. */
export const matrixFaults: { readonly [name: string]: MatrixFault } = {
    "entry killed": createFault(killAndRestartEntry),
    "agent killed": createFault(killAndRestartAgent),
    "backend server killed": createFault(run => {
        const { backendServer } = getFaultyAgent(run);
        backendServer.crash();
        scheduleAfter(run, shortOutageMilliseconds, () => backendServer.restart());
    }),
    "rack lost": createFault(run => {
        killAndRestartEntry(run);
        killAndRestartAgent(run);
    }),
    "entry frozen and resumed": createFault(run => {
        const entry = getFaultyEntry(run);
        entry.freeze();
        scheduleAfter(run, freezeMilliseconds, () => entry.resume());
    }, { maximumDelayMilliseconds: freezeMilliseconds }),
    "entry frozen before it sends": createFault(run => {
        const entry = getFaultyEntry(run);
        entry.freezeBetweenTickAndOutputs();
        scheduleAfter(run, freezeMilliseconds, () => entry.resume());
    }, { maximumDelayMilliseconds: freezeMilliseconds }),
    "agent frozen and resumed": createFault(run => {
        const agent = getFaultyAgent(run);
        agent.freeze();
        scheduleAfter(run, freezeMilliseconds, () => agent.resume());
    }, { maximumDelayMilliseconds: freezeMilliseconds }),
    "agent frozen before it sends": createFault(run => {
        const agent = getFaultyAgent(run);
        agent.freezeBetweenTickAndOutputs();
        scheduleAfter(run, freezeMilliseconds, () => agent.resume());
    }, { maximumDelayMilliseconds: freezeMilliseconds }),
    "caller and entry partitioned": createFault(run => {
        run.deployment.callers.setSilent(0, true);
        scheduleAfter(run, longOutageMilliseconds, () => run.deployment.callers.setSilent(0, false));
    }, { maximumDelayMilliseconds: longOutageMilliseconds, mustComplete: true }),
    "connection between two entries stalled": createFault(run => {
        holdMessages(run, listEntryPairs(run), reconnectMilliseconds);
        resubmitAtBothEntries(run);
    }, jobMustComplete),
    "entries partitioned briefly": createFault(run => {
        dropMessages(run, listEntryPairs(run), shortPartitionMilliseconds);
        resubmitAtBothEntries(run);
    }, { maximumDelayMilliseconds: shortPartitionMilliseconds }),
    "entries partitioned": createFault(run => {
        dropMessages(run, listEntryPairs(run));
        resubmitAtBothEntries(run);
    }, { maximumDelayMilliseconds: shortOutageMilliseconds }),
    "entry and agents partitioned": createFault(run => {
        const pairs = listEntryAgentPairs(run);
        dropMessages(run, [...pairs, ...pairs.map(([from, to]) => [to, from] as const)]);
    }, { maximumDelayMilliseconds: shortOutageMilliseconds, mustComplete: true }),
    "agents cannot reach entry": createFault(run => {
        dropMessages(run, listEntryAgentPairs(run).map(([from, to]) => [to, from] as const));
    }, { maximumDelayMilliseconds: shortOutageMilliseconds, mustComplete: true }),
    "entry cannot reach agents": createFault(run => {
        dropMessages(run, listEntryAgentPairs(run));
    }, { maximumDelayMilliseconds: shortOutageMilliseconds, mustComplete: true }),
    "agent and backend server partitioned": createFault(run => {
        const { backendServer } = getFaultyAgent(run);
        backendServer.isLinkSilent = true;
        scheduleAfter(run, shortOutageMilliseconds, () => {
            backendServer.isLinkSilent = false;
        });
    }),
    "platform down": createFault(run => setPlatformFault(run, "down")),
    "platform slow": createFault(run => setPlatformFault(run, "slow")),
    "platform responses lost": createFault(run => setPlatformFault(run, "answersLost")),
    "two concurrent operators": createFault(applyConcurrentManifests, jobMustComplete),
    "same submission at two entries": createFault(resubmitAtBothEntries, jobMustComplete),
    "delayed messages": createFault(
        run => setFaultOnEveryLink(run, { extraMilliseconds: 700 }, shortOutageMilliseconds),
        { maximumDelayMilliseconds: 2 * shortOutageMilliseconds, mustComplete: true },
    ),
    "duplicated messages": createFault(
        run => setFaultOnEveryLink(run, { copies: 3 }, longOutageMilliseconds),
        jobMustComplete,
    ),
    "reordered messages": createFault(
        run => setFaultOnEveryLink(run, { jitterMilliseconds: 300 }, longOutageMilliseconds),
        { maximumDelayMilliseconds: shortOutageMilliseconds, mustComplete: true },
    ),
    "duplicated and long delayed messages": createFault(
        run => setFaultOnEveryLink(run, { copies: 3, jitterMilliseconds: 3000 }, longOutageMilliseconds),
        { maximumDelayMilliseconds: longOutageMilliseconds },
    ),
    "half of the messages lost": createFault(
        run => setFaultOnEveryLink(run, { lossShare: 0.5 }, shortOutageMilliseconds),
        { maximumDelayMilliseconds: shortOutageMilliseconds, mustComplete: true },
    ),
    "burst of cancellations": createFault(submitAndCancelBurst, jobMustComplete),
    "burst of jobs": createFault(submitBurst, jobMustComplete),
    "backend server fails every task": createFault(run => {
        const { backendServer } = getFaultyAgent(run);
        backendServer.failsEverything = true;
        scheduleAfter(run, longOutageMilliseconds, () => {
            backendServer.failsEverything = false;
        });
    }),
    "stragglers": createFault(run => {
        for (const entry of [0, 1]) {
            run.submitOtherJob(createMatrixJob({ milliseconds: 4000, expectedMilliseconds: 100 }), entry);
        }
    }, jobMustComplete),
    "wrong expected task times": createFault(run => {
        run.submitOtherJob(createMatrixJob({ milliseconds: 10, expectedMilliseconds: 60_000 }), 0);
        run.submitOtherJob(createMatrixJob({ milliseconds: 2000, expectedMilliseconds: 1 }), 1);
    }, jobMustComplete),
    "jobs that can never run": createFault(submitUnplaceableJobs, jobMustComplete),
    "agent registers during a sweep": createFault(run => {
        killAndRestartEntry(run);
        scheduleAfter(run, 60, () => run.deployment.agents[3]?.start());
    }),
    "agent registers while the entry is frozen": createFault(run => {
        const entry = getFaultyEntry(run);
        entry.freezeBetweenTickAndOutputs();
        scheduleAfter(run, 60, () => run.deployment.agents[3]?.start());
        scheduleAfter(run, freezeMilliseconds, () => entry.resume());
    }, { maximumDelayMilliseconds: freezeMilliseconds }),
    "backend server drains": createFault(run => {
        const agent = getFaultyAgent(run);
        agent.drainBackendServer();
        scheduleAfter(run, longOutageMilliseconds, () => agent.backendServer.restart());
    }, jobMustComplete),
    "graceful shutdown of the agent": createFault(run => getFaultyAgent(run).stop(), jobMustComplete),
    "graceful shutdown of the entry": createFault(run => getFaultyEntry(run).stop(), jobMustComplete),
};
