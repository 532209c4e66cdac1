/**
 * Steps of a request at which faults are injected.
 */
import { healthyLink } from "../../harness/network.js";
import { createMatrixJob } from "./matrixJobs.js";
import type { MatrixRun } from "./matrixRun.js";

const disconnectedLink = { ...healthyLink, lossShare: 1 };
const shortDeadlineMilliseconds = 400;

/** Advances a run to a step. The returned function, if any, is called right after the faults are injected. */
export type MatrixStep = (run: MatrixRun) => (() => void) | undefined;

/**
 * Occupies every slot and every place in the agents' queues with other callers' jobs.
 *
 * @param run - run of the fault matrix to submit to
 */
export function fillAllSlots(run: MatrixRun): void {
    for (const entry of [0, 1, 0, 1]) {
        run.submitOtherJob(createMatrixJob({ tasks: 4, milliseconds: 600 }), entry);
    }
    run.deployment.advance(100);
}

/**
 * Submits the job under test and advances the run until all its tasks have started.
 *
 * @param run - run of the fault matrix to submit to
 */
export function runUntilStarted(run: MatrixRun): void {
    run.submitJob();
    run.advanceUntil(() => run.events.startedTaskCount === run.job.tasks.length);
}

function setAgentToEntryPartition(run: MatrixRun, isPartitioned: boolean): void {
    for (const agent of run.deployment.agents) {
        for (const entry of run.deployment.entries) {
            run.deployment.network.setFault(agent.address, entry.address, isPartitioned ? disconnectedLink : undefined);
        }
    }
}

/** The steps, by the names that the features use. */
export const requestSteps: { readonly [name: string]: MatrixStep } = {
    "the id is issued": run => {
        const caller = run.prepareCaller();
        caller.requestSubmissionId();
        run.advanceUntil(() => caller.submission !== undefined);
        return () => caller.start();
    },
    "the job is received and not recorded": run => {
        run.submitJob();
        run.advanceUntil(() => run.events.isJobReceived);
        return undefined;
    },
    "the key claim is sent": run => {
        run.submitJob("dawn reading");
        run.advanceUntil(() => run.events.isClaimRequested);
        return undefined;
    },
    "the tasks wait": run => {
        fillAllSlots(run);
        run.submitJob();
        run.advanceUntil(() => run.events.isJobAdmitted);
        run.deployment.advance(20);
        return undefined;
    },
    "a start is sent and not answered": run => {
        run.submitJob();
        run.advanceUntil(() => run.events.isStartSent);
        return undefined;
    },
    "the tasks run": run => {
        runUntilStarted(run);
        run.deployment.advance(50);
        return undefined;
    },
    "the outcomes are at the agents and not delivered": run => {
        runUntilStarted(run);
        setAgentToEntryPartition(run, true);
        run.advanceUntil(() => run.events.endedTaskCount === run.job.tasks.length);
        run.deployment.advance(2);
        return () => {
            run.deployment.advance(100);
            setAgentToEntryPartition(run, false);
        };
    },
    "the outcomes are delivered and no answer written": run => {
        run.submitJob();
        run.advanceUntil(() => run.events.receivedOutcomeCount >= run.job.tasks.length);
        return undefined;
    },
    "the answer is written and not read": run => {
        run.submitJob();
        run.advanceUntil(() => run.events.isAnswerSent);
        return undefined;
    },
    "the job is being cancelled": run => {
        runUntilStarted(run);
        const submission = run.caller?.submission;
        if (submission !== undefined) {
            run.deployment.callers.sendOperation(0, "cancel", submission);
        }
        run.advanceUntil(() => run.events.isCancelReceived);
        return undefined;
    },
    "the deadline passes": run => {
        run.job = createMatrixJob({ milliseconds: 1000, deadlineMilliseconds: shortDeadlineMilliseconds });
        run.submitJob();
        run.advanceUntil(() => run.events.isJobReceived);
        run.deployment.advance(shortDeadlineMilliseconds);
        return undefined;
    },
};
