/**
 * Steps of a process's startup and shutdown at which faults are injected, while jobs run.
 */
import { createMatrixJob } from "./matrixJobs.js";
import type { MatrixRun } from "./matrixRun.js";
import { type MatrixStep, runUntilStarted } from "./requestSteps.js";

const spareAgentIndex = 3;

function submitOthers(run: MatrixRun): void {
    for (const entry of [0, 1]) {
        run.submitOtherJob(createMatrixJob(), entry);
    }
}

/** The steps, by the names that the features use. */
export const processSteps: { readonly [name: string]: MatrixStep } = {
    "an agent is registering": run => {
        run.agentIndex = spareAgentIndex;
        run.deployment.agents[spareAgentIndex]?.start();
        submitOthers(run);
        run.submitJob();
        run.advanceUntil(() => run.events.isRegistrationRequested);
        return undefined;
    },
    "an entry is starting": run => {
        submitOthers(run);
        run.deployment.entries[0]?.crash();
        run.deployment.entries[0]?.start();
        run.submitJob();
        return undefined;
    },
    "a backend server is draining": run => {
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
        run.advanceUntil(() => run.events.isHandoverRequested);
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
        run.advanceUntil(() => run.events.isHandoverRequested);
        return undefined;
    },
};
