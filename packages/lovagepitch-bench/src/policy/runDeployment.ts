/**
 * Runs a workload through the real cores, open loop, on a clock of its own.
 */
import { InProcessDeployment } from "@lovagepitch/testing/harness/inProcessDeployment";
import type { PendingRequest } from "@lovagepitch/testing/harness/pendingRequest";
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { BenchJob } from "../workload/benchJob.js";
import type { BenchDeployment } from "./deployments.js";

/** Time after the last arrival in which jobs may still finish, in milliseconds. */
const drainMilliseconds = 60_000;
/** Ids that are fetched before the run, so that each job costs its caller one exchange. */
const idLeadMilliseconds = 1_000;

/** What a run showed. */
export interface DeploymentRun {
    /** Response of each job, in milliseconds; undefined when it was refused or failed. */
    readonly responses: readonly (number | undefined)[];
    /** Jobs that were refused, and how long each caller waited for that, in milliseconds. */
    readonly refusals: readonly number[];
    readonly failedJobs: number;
    /** Slot milliseconds spent on jobs that were answered complete, and on all. */
    readonly usefulWork: number;
    readonly allWork: number;
    readonly startedTasks: number;
    /** Batches between processes. */
    readonly batches: number;
    /** Messages that brought nothing, by kind. */
    readonly wasted: Readonly<Record<string, number>>;
    readonly callerMessages: number;
    /** Response of each team's jobs over the longest task, as means. */
    readonly teamResponses: ReadonlyMap<string, number>;
}

/** A job on its way. */
export interface Flight {
    readonly job: BenchJob;
    readonly request: PendingRequest;
}

/** Changes a deployment while it serves; the flights fill up as jobs arrive. */
export type Disturbance = (
    running: InProcessDeployment,
    startMilliseconds: number,
    flights: readonly Flight[],
) => void;

/**
 * Runs a workload.
 *
 * @param deployment - the deployment
 * @param jobs - the jobs in order of arrival
 * @param disturb - changes the deployment once it serves, for scenarios with faults
 * @returns what the run showed
 */
export function runDeployment(
    deployment: BenchDeployment,
    jobs: readonly BenchJob[],
    disturb: Disturbance = () => undefined,
): DeploymentRun {
    const work = new Map<string, number>();
    const wasted: Record<string, number> = {};
    const count = (kind: string, number = 1): void => {
        wasted[kind] = (wasted[kind] ?? 0) + number;
    };
    const running = new InProcessDeployment(deployment.settings, {
        taskEnded: (start, end) => {
            const spent = end.endedAtMilliseconds - start.startedAtMilliseconds;
            work.set(start.submission, (work.get(start.submission) ?? 0) + spent);
        },
        decisionMade: (_process, decision) => {
            if (decision.decision === "placed" && decision.reason.startsWith("no acknowledgement")) {
                count("resent starts");
            }
        },
        batchSent: (_destination, batch) => {
            for (const message of batch.messages) {
                if (message.type === "declineOffer") {
                    // The offer and its refusal both brought nothing.
                    count("declined offers", 2);
                }
                else if (message.type === "placeBid" && message.waitingTasks === 0) {
                    count("withdrawn bids");
                }
                else if (message.type === "reportTasks") {
                    const refused = message.reports.filter(report => report.report.state === "refused").length;
                    // The start and its refusal both brought nothing.
                    count("refused starts", 2 * refused);
                }
            }
        },
    });
    running.start(deployment.manifest);
    const flights = submitAll(running, deployment, jobs, disturb);
    return summarise(running, flights, work, wasted);
}

function submitAll(
    running: InProcessDeployment,
    deployment: BenchDeployment,
    jobs: readonly BenchJob[],
    disturb: Disturbance,
): readonly Flight[] {
    const entries = deployment.settings.entries.length;
    const ids: SubmissionKey[] = [];
    jobs.forEach((_job, position) => {
        running.callers.requestSubmissionId(position % entries, submission => {
            ids[position] = submission;
        });
    });
    running.advance(idLeadMilliseconds);
    const startAt = running.clock.nowMilliseconds();
    const flights: Flight[] = [];
    jobs.forEach((job, position) => {
        running.queue.schedule(startAt + job.arrivesAtMilliseconds, () => {
            const request = running.submit(position % entries, createRequest(deployment, job), ids[position]);
            flights.push({ job, request });
        }, undefined);
    });
    disturb(running, startAt, flights);
    running.advance((jobs.at(-1)?.arrivesAtMilliseconds ?? 0) + drainMilliseconds);
    return flights;
}

function createRequest(deployment: BenchDeployment, job: BenchJob): JobRequest {
    return {
        team: job.team,
        service: deployment.service,
        kind: deployment.kind,
        deadlineMilliseconds: job.deadlineMilliseconds,
        idempotent: false,
        tasks: job.tasks.map((task, index) => ({
            payload: { milliseconds: task.milliseconds, echo: index, fail: job.fails === true },
            cores: 1,
            memoryMegabytes: 256,
            expectedMilliseconds: task.declaredMilliseconds,
        })),
    };
}

function summarise(
    running: InProcessDeployment,
    flights: readonly Flight[],
    work: ReadonlyMap<string, number>,
    wasted: Readonly<Record<string, number>>,
): DeploymentRun {
    const responses: (number | undefined)[] = [];
    const refusals: number[] = [];
    const teams = new Map<string, number[]>();
    let failedJobs = 0;
    let usefulWork = 0;
    for (const { job, request } of flights) {
        const end = request.end;
        const response = end === undefined ? undefined : end.atMilliseconds - request.sentAtMilliseconds;
        const result = end?.kind === "answered" ? end.result : undefined;
        if (result?.kind === "answer" && result.answer.state === "complete" && response !== undefined) {
            responses[job.number] = response;
            usefulWork += work.get(request.submission ?? "") ?? 0;
            const longest = Math.max(...job.tasks.map(task => task.milliseconds));
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
    const total = [...work.values()].reduce((sum, one) => sum + one, 0);
    return {
        responses,
        refusals,
        failedJobs,
        usefulWork,
        allWork: total,
        startedTasks: running.starts.starts.length,
        batches: running.counts.batches,
        wasted,
        callerMessages: running.counts.callerRequests + running.counts.callerAnswers,
        teamResponses: new Map([...teams].map(([team, ratios]) => [team, mean(ratios)])),
    };
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, one) => sum + one, 0) / Math.max(1, values.length);
}
