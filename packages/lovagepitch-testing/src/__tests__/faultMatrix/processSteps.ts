/**
 * Steps of a process at which faults strike, while jobs run.
 */
import { createMatrixJob } from "./matrixJobs.js";
import type { MatrixRun } from "./matrixRun.js";
import { type MatrixStep, runUntilStarted } from "./requestSteps.js";

const spareAgent = 3;

function submitOthers(run: MatrixRun): void {
    for (const entry of [0, 1]) {
        run.submitOther(createMatrixJob(), entry);
    }
}

/** The steps by name. */
export const processSteps: { readonly [name: string]: MatrixStep } = {
    "an agent is registering": run => {
        run.agentIndex = spareAgent;
        run.deployment.agents[spareAgent]?.start();
        submitOthers(run);
        run.submitJob();
        run.reach(() => run.events.registrationAsked);
        return undefined;
    },
    "an entry is starting": run => {
        submitOthers(run);
        run.deployment.entries[0]?.crash();
        run.deployment.entries[0]?.start();
        run.submitJob();
        return undefined;
    },
    "a backend server is leaving": run => {
        runUntilStarted(run);
        run.deployment.agents[run.agentIndex]?.drainBackendServer();
        submitOthers(run);
        return undefined;
    },
    "an agent is stopping": run => {
        runUntilStarted(run);
        run.deployment.agents[run.agentIndex]?.stop();
        submitOthers(run);
        return undefined;
    },
    "an agent writes its ledger": run => {
        runUntilStarted(run);
        run.deployment.agents[run.agentIndex]?.stop();
        submitOthers(run);
        run.reach(() => run.events.handoverAsked);
        return undefined;
    },
    "an entry is stopping": run => {
        runUntilStarted(run);
        run.deployment.entries[0]?.stop();
        submitOthers(run);
        return undefined;
    },
    "an entry writes its answers": run => {
        runUntilStarted(run);
        run.deployment.entries[0]?.stop();
        run.reach(() => run.events.handoverAsked);
        return undefined;
    },
};
