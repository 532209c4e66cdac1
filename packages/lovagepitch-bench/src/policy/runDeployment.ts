/**
 * Runs an open-loop workload through the real cores on a simulated clock.
 */
import { InProcessDeployment } from "@lovagepitch/testing/harness/inProcessDeployment";
import type { PendingRequest } from "@lovagepitch/testing/harness/pendingRequest";
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { BenchJob } from "../workload/benchJob.js";
import type { BenchDeployment } from "./deployments.js";

/** Time after the last arrival for jobs to finish. */
const drainMilliseconds = 60_000;
/** Time before the run in which callers request ids, so that each job needs only one exchange during the run. */
const idLeadMilliseconds = 1_000;

/** Results of a run. */
export interface DeploymentRun {
    /** Response time of each job in milliseconds; undefined when the job was refused or failed. */
    readonly responses: readonly (number | undefined)[];
    /** Response times of the refused jobs, in milliseconds. */
    readonly refusals: readonly number[];
    readonly failedJobs: number;
    /** Slot time spent on jobs that completed, and on all jobs. */
    readonly usefulSlotMilliseconds: number;
    readonly totalSlotMilliseconds: number;
    readonly startedTasks: number;
    /** Number of batches sent between processes. */
    readonly batches: number;
    /** Messages without effect, by kind. */
    readonly wasted: Readonly<Record<string, number>>;
    readonly callerMessages: number;
    /** Mean ratio of response time to longest task, by team. */
    readonly teamResponses: ReadonlyMap<string, number>;
}

/** A submitted job and its pending request. */
export interface SubmittedJob {
    readonly job: BenchJob;
    readonly request: PendingRequest;
}

/** Injects faults or cancellations into a running deployment; the list of jobs grows as they are submitted. */
export type FaultInjection = (
    running: InProcessDeployment,
    startMilliseconds: number,
    submittedJobs: readonly SubmittedJob[],
) => void;

/**
 * Runs a workload and collects its results.
 *
 * @param deployment - deployment to simulate
 * @param jobs - the jobs in order of arrival
 * @param injectFaults - schedules faults or cancellations after the jobs are scheduled
 * @returns results of the run
 */
export function runDeployment(
    deployment: BenchDeployment,
    jobs: readonly BenchJob[],
    injectFaults: FaultInjection = () => undefined,
): DeploymentRun {
    const slotMilliseconds = new Map<string, number>();
    const wasted: Record<string, number> = {};
    const countWasted = (kind: string, amount = 1): void => {
        wasted[kind] = (wasted[kind] ?? 0) + amount;
    };
    const running = new InProcessDeployment(deployment.settings, {
        taskEnded: (start, end) => {
            const spent = end.endedAtMilliseconds - start.startedAtMilliseconds;
            slotMilliseconds.set(start.submission, (slotMilliseconds.get(start.submission) ?? 0) + spent);
        },
        decisionMade: (_process, decision) => {
            if (decision.decision === "placed" && decision.reason.startsWith("no acknowledgement")) {
                countWasted("resent starts");
            }
        },
        batchSent: (_destination, batch) => {
            for (const message of batch.messages) {
                if (message.type === "declineOffer") {
                    // Both the offer and the message that declines it are wasted.
                    countWasted("declined offers", 2);
                }
                else if (message.type === "placeBid" && message.waitingTasks === 0) {
                    countWasted("withdrawn bids");
                }
                else if (message.type === "reportTasks") {
                    const refused = message.reports.filter(report => report.report.state === "refused").length;
                    // Both the start and its refusal are wasted.
                    countWasted("refused starts", 2 * refused);
                }
            }
        },
    });
    running.start(deployment.manifest);
    const submittedJobs = submitJobs(running, deployment, jobs, injectFaults);
    return summariseRun(running, submittedJobs, slotMilliseconds, wasted);
}

function submitJobs(
    running: InProcessDeployment,
    deployment: BenchDeployment,
    jobs: readonly BenchJob[],
    injectFaults: FaultInjection,
): readonly SubmittedJob[] {
    const entries = deployment.settings.entries.length;
    const ids: SubmissionKey[] = [];
    jobs.forEach((_job, position) => {
        running.callers.requestSubmissionId(position % entries, submission => {
            ids[position] = submission;
        });
    });
    running.advance(idLeadMilliseconds);
    const startAt = running.clock.nowMilliseconds();
    const submittedJobs: SubmittedJob[] = [];
    jobs.forEach((job, position) => {
        running.queue.schedule(startAt + job.arrivesAtMilliseconds, () => {
            const request = running.submit(position % entries, createRequest(deployment, job), ids[position]);
            submittedJobs.push({ job, request });
        }, undefined);
    });
    injectFaults(running, startAt, submittedJobs);
    running.advance((jobs.at(-1)?.arrivesAtMilliseconds ?? 0) + drainMilliseconds);
    return submittedJobs;
}

function createRequest(deployment: BenchDeployment, job: BenchJob): JobRequest {
    return {
        team: job.team,
        service: deployment.service,
        kind: deployment.kind,
        deadlineMilliseconds: job.deadlineMilliseconds,
        idempotent: false,
        tasks: job.tasks.map((task, index) => ({
            payload: { milliseconds: task.actualMilliseconds, echo: index, fail: job.fails === true },
            cores: 1,
            memoryMegabytes: 256,
            expectedMilliseconds: task.declaredMilliseconds,
        })),
    };
}

function summariseRun(
    running: InProcessDeployment,
    submittedJobs: readonly SubmittedJob[],
    slotMilliseconds: ReadonlyMap<string, number>,
    wasted: Readonly<Record<string, number>>,
): DeploymentRun {
    const responses: (number | undefined)[] = [];
    const refusals: number[] = [];
    const teams = new Map<string, number[]>();
    let failedJobs = 0;
    let usefulSlotMilliseconds = 0;
    for (const { job, request } of submittedJobs) {
        const end = request.end;
        const response = end === undefined ? undefined : end.atMilliseconds - request.sentAtMilliseconds;
        const result = end?.kind === "answered" ? end.result : undefined;
        if (result?.kind === "answer" && result.answer.state === "complete" && response !== undefined) {
            responses[job.index] = response;
            usefulSlotMilliseconds += slotMilliseconds.get(request.submission ?? "") ?? 0;
            const longest = Math.max(...job.tasks.map(task => task.actualMilliseconds));
            const ratios = teams.get(job.team) ?? [];
            ratios.push(response / longest);
            teams.set(job.team, ratios);
        }
        else if (result?.kind === "problem" && response !== undefined) {
            refusals.push(response);
        }
        else {
            failedJobs += 1;
        }
    }
    const totalSlotMilliseconds = [...slotMilliseconds.values()].reduce((sum, one) => sum + one, 0);
    return {
        responses,
        refusals,
        failedJobs,
        usefulSlotMilliseconds,
        totalSlotMilliseconds,
        startedTasks: running.starts.starts.length,
        batches: running.counts.batches,
        wasted,
        callerMessages: running.counts.callerRequests + running.counts.callerAnswers,
        teamResponses: new Map([...teams].map(([team, ratios]) => [team, computeMean(ratios)])),
    };
}

function computeMean(values: readonly number[]): number {
    return values.reduce((sum, one) => sum + one, 0) / Math.max(1, values.length);
}
