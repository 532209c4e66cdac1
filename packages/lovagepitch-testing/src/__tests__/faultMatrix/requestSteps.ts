/**
 * Steps of a request at which faults strike.
 */
import { healthyLink } from "../../harness/network.js";
import { createMatrixJob } from "./matrixJobs.js";
import type { MatrixRun } from "./matrixRun.js";

const lostLink = { ...healthyLink, lossShare: 1 };
const shortDeadline = 400;

/** Brings a run to a step; what it returns runs right after the faults struck. */
export type MatrixStep = (run: MatrixRun) => (() => void) | undefined;

/**
 * Occupies every slot and every stand-by place with other callers' jobs.
 *
 * @param run - the run
 */
export function fillAllSlots(run: MatrixRun): void {
    for (const entry of [0, 1, 0, 1]) {
        run.submitOther(createMatrixJob({ tasks: 4, milliseconds: 600 }), entry);
    }
    run.deployment.advance(100);
}

/**
 * Submits the job in question and lets all its tasks start.
 *
 * @param run - the run
 */
export function runUntilStarted(run: MatrixRun): void {
    run.submitJob();
    run.reach(() => run.events.startedTasks === run.job.tasks.length);
}

function cutAgentsFromEntries(run: MatrixRun, isCut: boolean): void {
    for (const agent of run.deployment.agents) {
        for (const entry of run.deployment.entries) {
            run.deployment.network.setFault(agent.address, entry.address, isCut ? lostLink : undefined);
        }
    }
}

/** The steps by name. */
export const requestSteps: { readonly [name: string]: MatrixStep } = {
    "the id is issued": run => {
        const caller = run.prepareCaller();
        caller.requestSubmissionId();
        run.reach(() => caller.submission !== undefined);
        return () => caller.start();
    },
    "the job is received and nothing recorded": run => {
        run.submitJob();
        run.reach(() => run.events.jobArrived);
        return undefined;
    },
    "the key claim is sent": run => {
        run.submitJob("dawn reading");
        run.reach(() => run.events.claimAsked);
        return undefined;
    },
    "the tasks wait": run => {
        fillAllSlots(run);
        run.submitJob();
        run.reach(() => run.events.jobAdmitted);
        run.deployment.advance(20);
        return undefined;
    },
    "a start is sent and not answered": run => {
        run.submitJob();
        run.reach(() => run.events.startSent);
        return undefined;
    },
    "the tasks run": run => {
        runUntilStarted(run);
        run.deployment.advance(50);
        return undefined;
    },
    "the outcomes are at the agents and not delivered": run => {
        runUntilStarted(run);
        cutAgentsFromEntries(run, true);
        run.reach(() => run.events.endedTasks === run.job.tasks.length);
        run.deployment.advance(2);
        return () => {
            run.deployment.advance(100);
            cutAgentsFromEntries(run, false);
        };
    },
    "the outcomes are delivered and no answer written": run => {
        run.submitJob();
        run.reach(() => run.events.outcomesArrived >= run.job.tasks.length);
        return undefined;
    },
    "the answer is written and not read": run => {
        run.submitJob();
        run.reach(() => run.events.answerSent);
        return undefined;
    },
    "the job is being cancelled": run => {
        runUntilStarted(run);
        const submission = run.caller?.submission;
        if (submission !== undefined) {
            run.deployment.callers.sendOperation(0, "cancel", submission);
        }
        run.reach(() => run.events.cancelArrived);
        return undefined;
    },
    "the deadline passes": run => {
        run.job = createMatrixJob({ milliseconds: 1000, deadlineMilliseconds: shortDeadline });
        run.submitJob();
        run.reach(() => run.events.jobArrived);
        run.deployment.advance(shortDeadline);
        return undefined;
    },
};
